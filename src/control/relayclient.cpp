#include "control/relayclient.h"

#include "control/relaypage.h"
#include "control/storerelay.h"
#include "net/address.h"
#include "net/httpclient.h"

namespace Cardamomhill
{

namespace
{

/// Time for an answer beyond the relay's own wait. Short because a relay is in the same failure domain and answers from
/// memory, and because it also limits how long an unresponsive relay goes unnoticed.
constexpr Milliseconds AnswerMargin{300};

RelayCallError errorOf(unsigned status)
{
    switch (status) {
    case StoreRelay::StatusHistoryGone:
        return RelayCallError::HistoryGone;
    case StoreRelay::StatusDeclined:
        return RelayCallError::Declined;
    case StoreRelay::StatusNoContact:
        return RelayCallError::NoContact;
    default:
        return RelayCallError::Failed;
    }
}

} // namespace

RelayClient::RelayClient(asio::io_context &context, std::string kind)
    : m_context(context)
    , m_kind(std::move(kind))
{
}

RelayClient::~RelayClient() = default;

Task<Result<ObjectPage, RelayCallError>> RelayClient::call(const RelayHost &relay, std::optional<StoreRevision> since)
{
    if (!m_client || m_relay != relay) {
        const auto endpoint = parseAddress(relay.address);
        if (!endpoint) {
            co_return failure(RelayCallError::Failed);
        }
        m_relay = relay;
        m_client = std::make_unique<HttpClient>(m_context, *endpoint);
    }
    const auto timeout = since ? StoreRelay::LongPollTimeout + AnswerMargin : AnswerMargin;
    const auto answer = co_await m_client->call(StoreRelay::makeRequest(m_kind, since), timeout);
    if (answer.has_error()) {
        co_return failure(RelayCallError::Failed);
    }
    if (answer.value().status != StoreRelay::StatusOk) {
        co_return failure(errorOf(answer.value().status));
    }
    auto page = unpackPage(m_kind, answer.value().body);
    if (page.has_error()) {
        co_return failure(RelayCallError::Failed);
    }
    co_return std::move(page.value());
}

} // namespace Cardamomhill
