#include "entry/requestparser.h"

#include "config/configuration.h"
#include "config/organisation.h"
#include "config/profile.h"
#include "config/service.h"
#include "core/parsenumber.h"

#include <algorithm>
#include <string_view>

namespace Cardamomhill
{

namespace http = boost::beast::http;

namespace
{

constexpr std::string_view ServicesPrefix = "/v1/services/";
constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::string_view NotSent = "not-sent";

std::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

Problem problem(ProblemKind kind, unsigned status, std::string detail)
{
    return {kind, status, std::string(NotSent), std::move(detail), std::nullopt};
}

/// The timeout of the profile or the one that the caller requests, whichever is shorter.
Milliseconds timeoutOf(const HttpRequest &request, const Profile &profile)
{
    const auto text = view(request["X-Request-Timeout-Ms"]);
    const auto requestedMs = parseNumber<std::int64_t>(text).value_or(0);
    return requestedMs > 0 ? std::min(profile.timeout, Milliseconds(requestedMs)) : profile.timeout;
}

} // namespace

const Organisation *authenticate(const HttpRequest &request, const Configuration &configuration)
{
    const auto authorization = view(request[http::field::authorization]);
    if (authorization.substr(0, BearerPrefix.size()) != BearerPrefix) {
        return nullptr;
    }
    return configuration.organisationByToken(authorization.substr(BearerPrefix.size()));
}

Result<CallerRequest, Problem> parseCallerRequest(const HttpRequest &request,
                                                  std::shared_ptr<const Configuration> configuration,
                                                  RequestId id,
                                                  SteadyTime now)
{
    const auto target = view(request.target());
    if (target.substr(0, ServicesPrefix.size()) != ServicesPrefix) {
        return failure(problem(ProblemKind::NotFound, 404, "the path is /v1/services/<service>/<path>"));
    }
    CallerRequest parsed;
    parsed.configuration = std::move(configuration);
    parsed.id = std::move(id);
    parsed.organisation = authenticate(request, *parsed.configuration);
    if (parsed.organisation == nullptr) {
        return failure(problem(ProblemKind::TokenInvalid, 401, "no organisation has this bearer token"));
    }
    const auto rest = target.substr(ServicesPrefix.size());
    const auto slash = rest.find('/');
    parsed.service = parsed.configuration->service(ServiceId(std::string(rest.substr(0, slash))));
    if (parsed.service == nullptr) {
        return failure(problem(ProblemKind::ServiceUnknown, 404, "no such service"));
    }
    parsed.profile = parsed.configuration->profile(parsed.service->profile);
    parsed.method = std::string(view(request.method_string()));
    parsed.target = slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
    parsed.contentType = std::string(view(request[http::field::content_type]));
    parsed.body = request.body();
    parsed.idempotencyKey = std::string(view(request["Idempotency-Key"]));
    parsed.isIdempotent = parsed.service->isIdempotent(parsed.method, parsed.target);
    parsed.deadline = now + timeoutOf(request, *parsed.profile);
    return parsed;
}

} // namespace Cardamomhill
