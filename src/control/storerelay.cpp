#include "control/storerelay.h"

#include "control/relaypage.h"
#include "net/httpclient.h"
#include "net/httplimits.h"
#include "net/steadynow.h"

namespace Cardamomhill
{

namespace
{

constexpr std::string_view PathPrefix = "/relay/";
constexpr std::string_view SinceParameter = "?since=";
/// Longest wait for the first list. Other hosts call a new relay as soon as they know of it, when it may still be
/// listing all objects.
constexpr Milliseconds FirstListTimeout{200};
constexpr unsigned StatusNotFound = 404;
const std::string PageType = "application/msgpack";
const std::string ReasonType = "text/plain";

} // namespace

HttpRequest StoreRelay::makeRequest(const std::string &kind, const std::optional<StoreRevision> &since)
{
    auto target = std::string(PathPrefix) + kind;
    if (since) {
        target += std::string(SinceParameter) + toText(*since);
    }
    return makeHttpRequest("GET", target);
}

StoreRelay::StoreRelay(asio::io_context &context)
    : m_context(context)
    , m_server(context, bodilessLimits(), [this](HttpExchange &exchange) { return answer(exchange); })
{
}

Result<void, NetError> StoreRelay::listen(const tcp::endpoint &endpoint)
{
    return m_server.listen(endpoint, false);
}

RelayedKind &StoreRelay::kind(const std::string &name)
{
    return m_kinds.try_emplace(name, m_context).first->second;
}

Task<> StoreRelay::answer(HttpExchange &exchange)
{
    std::string_view target(exchange.request().target().data(), exchange.request().target().size());
    std::optional<StoreRevision> since;
    const auto parameter = target.find(SinceParameter);
    if (parameter != std::string_view::npos) {
        since = parseStoreRevision(target.substr(parameter + SinceParameter.size()));
        target = since ? target.substr(0, parameter) : std::string_view();
    }
    const bool isRelayPath = target.substr(0, PathPrefix.size()) == PathPrefix;
    const auto kind = isRelayPath ? m_kinds.find(std::string(target.substr(PathPrefix.size()))) : m_kinds.end();
    if (kind == m_kinds.end()) {
        co_await exchange.sendAnswer(StatusNotFound, ReasonType, "/relay/KIND, /relay/KIND?since=ERA.NUMBER\n");
        co_return;
    }
    co_await answerKind(exchange, kind->second, since);
}

Task<> StoreRelay::answerKind(HttpExchange &exchange, RelayedKind &kind, std::optional<StoreRevision> since)
{
    const auto &copy = kind.copy();
    const auto deadline = steadyNow() + LongPollTimeout;
    const auto listDeadline = steadyNow() + FirstListTimeout;
    while (kind.isAwaitingList() && steadyNow() < listDeadline) {
        co_await kind.waitForChange(listDeadline);
    }
    while (since && copy.isComplete() && copy.revision() <= *since && steadyNow() < deadline) {
        co_await kind.waitForChange(deadline);
    }
    if (!kind.isRelaying()) {
        co_await exchange.sendAnswer(StatusDeclined, ReasonType, "this host is not a relay\n");
        co_return;
    }
    if (!copy.isComplete()) {
        co_await exchange.sendAnswer(StatusNoContact, ReasonType, "no contact with the store\n");
        co_return;
    }
    const auto page = since ? copy.changesSince(*since) : std::optional(copy.all());
    if (!page) {
        co_await exchange.sendAnswer(
            StatusHistoryGone, ReasonType, "the changes since this revision are no longer available\n");
        co_return;
    }
    co_await exchange.sendAnswer(StatusOk, PageType, packPage(*page));
}

} // namespace Cardamomhill
