#include "entry/problem.h"

#include <nlohmann/json.hpp>

namespace Cardamomhill
{

namespace
{

/// The time in seconds: without a fraction if possible, as RFC 9110 requires; callers that asked for finer times accept
/// decimals.
std::string secondsText(Milliseconds time)
{
    constexpr std::int64_t MillisecondsPerSecond = 1000;
    const auto whole = std::to_string(time.count() / MillisecondsPerSecond);
    const auto rest = time.count() % MillisecondsPerSecond;
    return rest == 0 ? whole : whole + "." + std::to_string(MillisecondsPerSecond + rest).substr(1);
}

} // namespace

std::string problemJson(const Problem &problem)
{
    const std::string name(nameOf(problem.kind));
    nlohmann::json document{{"type", "urn:cardamomhill:problem:" + name},
                            {"title", name},
                            {"status", problem.status},
                            {"detail", problem.detail},
                            {"outcome", problem.outcome}};
    if (!problem.replacementKey.empty()) {
        document["idempotency_key"] = problem.replacementKey;
    }
    // The detail may quote bytes of the caller's request, which need not be valid UTF-8.
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Task<bool> sendProblem(HttpExchange &exchange, Problem problem)
{
    HttpHeaders headers;
    if (problem.retryAfter) {
        headers.emplace_back("Retry-After", secondsText(*problem.retryAfter));
    }
    co_return co_await exchange.sendAnswer(
        problem.status, "application/problem+json", problemJson(problem), std::move(headers));
}

} // namespace Cardamomhill
