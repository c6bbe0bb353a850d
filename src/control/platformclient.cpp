#include "control/platformclient.h"

#include <nlohmann/json.hpp>

namespace Cardamomhill
{

namespace
{

constexpr Milliseconds CallTimeout{5000};
/// What a watch may take beyond the time that the platform was asked to wait.
constexpr Milliseconds WatchMargin{5000};

std::string pathOf(const ObjectKey &key)
{
    return "/objects/" + key.kind + "/" + key.name;
}

PlatformCallError errorOfStatus(const HttpResponse &response)
{
    constexpr unsigned NotFound = 404;
    constexpr unsigned Gone = 410;
    constexpr unsigned PreconditionFailed = 412;
    switch (response.status) {
    case NotFound:
        return {PlatformCallErrorCode::NotFound, ""};
    case Gone:
        return {PlatformCallErrorCode::HistoryGone, ""};
    case PreconditionFailed:
        return {PlatformCallErrorCode::Conflict, response.body};
    default:
        return {PlatformCallErrorCode::Unavailable, "status " + std::to_string(response.status)};
    }
}

PlatformObject objectOf(const nlohmann::json &json)
{
    PlatformObject object;
    object.key = {json.at("kind").get<std::string>(), json.at("name").get<std::string>()};
    object.version = json.at("version").get<std::uint64_t>();
    object.value = json.at("value").dump();
    return object;
}

Result<PlatformObject, PlatformCallError> parseObject(const std::string &body)
{
    try {
        return objectOf(nlohmann::json::parse(body));
    } catch (const nlohmann::json::exception &error) {
        return failure(PlatformCallError{PlatformCallErrorCode::MalformedAnswer, error.what()});
    }
}

Result<PlatformClient::Objects, PlatformCallError> parseObjects(const std::string &body)
{
    try {
        const auto json = nlohmann::json::parse(body);
        PlatformClient::Objects objects;
        objects.revision = json.at("revision").get<std::uint64_t>();
        for (const auto &object : json.at("objects")) {
            objects.objects.push_back(objectOf(object));
        }
        return objects;
    } catch (const nlohmann::json::exception &error) {
        return failure(PlatformCallError{PlatformCallErrorCode::MalformedAnswer, error.what()});
    }
}

} // namespace

PlatformClient::PlatformClient(asio::io_context &context, const tcp::endpoint &endpoint)
    : m_client(context, endpoint)
{
}

Task<Result<PlatformObject, PlatformCallError>> PlatformClient::read(ObjectKey key)
{
    const auto body = co_await call(makeHttpRequest("GET", pathOf(key)), CallTimeout);
    if (body.has_error()) {
        co_return failure(body.error());
    }
    co_return parseObject(body.value());
}

Task<Result<PlatformClient::Objects, PlatformCallError>> PlatformClient::list(std::string kind)
{
    const std::string path = kind.empty() ? "/objects" : "/objects/" + kind;
    const auto body = co_await call(makeHttpRequest("GET", path), CallTimeout);
    if (body.has_error()) {
        co_return failure(body.error());
    }
    co_return parseObjects(body.value());
}

Task<Result<PlatformClient::Objects, PlatformCallError>> PlatformClient::watch(std::uint64_t since,
                                                                               Milliseconds timeout)
{
    const std::string path = "/watch?since=" + std::to_string(since) + "&timeout_ms=" + std::to_string(timeout.count());
    const auto body = co_await call(makeHttpRequest("GET", path), timeout + WatchMargin);
    if (body.has_error()) {
        co_return failure(body.error());
    }
    co_return parseObjects(body.value());
}

Task<Result<PlatformObject, PlatformCallError>>
PlatformClient::write(ObjectKey key, std::uint64_t expectedVersion, std::string value)
{
    auto request = makeHttpRequest("PUT", pathOf(key), std::move(value));
    if (expectedVersion == 0) {
        request.set(boost::beast::http::field::if_none_match, "*");
    } else {
        request.set(boost::beast::http::field::if_match, std::to_string(expectedVersion));
    }
    const auto body = co_await call(std::move(request), CallTimeout);
    if (body.has_error()) {
        co_return failure(body.error());
    }
    co_return parseObject(body.value());
}

Task<Result<std::string, PlatformCallError>> PlatformClient::call(HttpRequest request, Milliseconds timeout)
{
    constexpr unsigned FirstErrorStatus = 300;
    auto response = co_await m_client.call(std::move(request), timeout);
    if (response.has_error()) {
        const auto code
            = response.error().wasNotSent ? PlatformCallErrorCode::NotSent : PlatformCallErrorCode::Unavailable;
        co_return failure(PlatformCallError{code, response.error().error.message()});
    }
    if (response.value().status >= FirstErrorStatus) {
        co_return failure(errorOfStatus(response.value()));
    }
    co_return std::move(response.value().body);
}

} // namespace Cardamomhill
