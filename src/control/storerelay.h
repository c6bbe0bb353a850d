#pragma once

#include "control/relayedkind.h"
#include "core/clocktypes.h"
#include "core/result.h"
#include "net/asio.h"
#include "net/httpexchange.h"
#include "net/httpserver.h"
#include "net/neterror.h"
#include "objectstore/storerevision.h"

#include <map>
#include <optional>
#include <string>

namespace Cardamomhill
{

/// Serves objects of the platform's store to other entry hosts, which follow the store through this one.
///
/// `GET /relay/KIND` returns all objects. `GET /relay/KIND?since=ERA.NUMBER` returns the changes since that revision as
/// soon as there are any, or an empty page after LongPollTimeout.
class StoreRelay
{
public:
    /// Longest wait for a change. An empty page after this time also shows that the relay is alive.
    static constexpr Milliseconds LongPollTimeout{400};

    static constexpr unsigned StatusOk = 200;
    static constexpr unsigned StatusHistoryGone = 410;
    static constexpr unsigned StatusDeclined = 421;
    static constexpr unsigned StatusNoContact = 503;

    static HttpRequest makeRequest(const std::string &kind, const std::optional<StoreRevision> &since);

    explicit StoreRelay(asio::io_context &context);

    Result<void, NetError> listen(const tcp::endpoint &endpoint);

    /// Returns the kind of that name. Adds it to the served kinds if it is new.
    RelayedKind &kind(const std::string &name);

private:
    Task<> answer(HttpExchange &exchange);
    Task<> answerKind(HttpExchange &exchange, RelayedKind &kind, std::optional<StoreRevision> since);

    asio::io_context &m_context;
    std::map<std::string, RelayedKind> m_kinds;
    HttpServer m_server;
};

} // namespace Cardamomhill
