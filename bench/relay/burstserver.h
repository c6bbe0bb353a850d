#pragma once

#include "net/asio.h"
#include "net/httpexchange.h"
#include "net/httpserver.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

/// A backend server for the benchmark. GET /burst streams as fast as the reader consumes, in events of several tokens
/// as a batching engine emits them. Other requests get a small answer immediately.
class BurstServer
{
public:
    static constexpr std::uint64_t TokensPerEvent = 16;
    static constexpr std::uint64_t EventsPerStream = 20'000;

    explicit BurstServer(asio::io_context &context)
        : m_server(context, HttpLimits(), [this](HttpExchange &exchange) { return answer(exchange); })
        , m_event("data: ")
    {
        for (std::uint64_t i = 0; i < TokensPerEvent; ++i) {
            m_event += "token" + std::to_string(i) + " ";
        }
        m_event += "\n\n";
    }

    Result<void, NetError> listen(const tcp::endpoint &endpoint)
    {
        return m_server.listen(endpoint, false);
    }

private:
    Task<> answer(HttpExchange &exchange)
    {
        if (exchange.request().target() != "/burst") {
            co_await exchange.sendAnswer(200, "text/plain", "ok");
            co_return;
        }
        bool isConnected = co_await exchange.beginChunkedAnswer(200, "text/event-stream");
        for (std::uint64_t i = 0; isConnected && i < EventsPerStream; ++i) {
            isConnected = co_await exchange.sendChunk(m_event);
        }
        if (isConnected) {
            co_await exchange.endChunkedAnswer();
        }
    }

    HttpServer m_server;
    std::string m_event;
};

} // namespace Cardamomhill
