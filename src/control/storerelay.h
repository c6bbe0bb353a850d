#pragma once

#include "control/relayedkind.h"
#include "core/clocktypes.h"
#include "core/result.h"
#include "net/asio.h"
#include "net/httpexchange.h"
#include "net/httpserver.h"
#include "net/neterror.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Cardamomhill
{

/// Answers other entry hosts that follow the platform's store through this one.
///
/// `GET /relay/KIND` returns all objects, `GET /relay/KIND?since=REVISION` what has changed since, as soon as something
/// has and after Wait at the latest.
class StoreRelay
{
public:
    /// A relay that has nothing new says so after this time; it also tells that it is alive.
    static constexpr Milliseconds Wait{400};

    static constexpr unsigned StatusOk = 200;
    static constexpr unsigned StatusHistoryGone = 410;
    static constexpr unsigned StatusDeclined = 421;
    static constexpr unsigned StatusNoContact = 503;

    static HttpRequest makeCall(const std::string &kind, std::optional<std::uint64_t> since);

    explicit StoreRelay(asio::io_context &context);

    Result<void, NetError> listen(const tcp::endpoint &endpoint);

    /// The kind of that name, which is relayed from now on.
    RelayedKind &kind(const std::string &name);

private:
    Task<> answer(HttpExchange &exchange);
    Task<> answerKind(HttpExchange &exchange, RelayedKind &kind, std::optional<std::uint64_t> since);

    asio::io_context &m_context;
    std::map<std::string, RelayedKind> m_kinds;
    HttpServer m_server;
};

} // namespace Cardamomhill
