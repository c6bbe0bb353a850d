#include "net/httpclient.h"
#include "net/httpexchange.h"
#include "net/httplimits.h"
#include "net/httpserver.h"
#include "net/steadynow.h"
#include "support/freeendpoint.h"

#include <doctest/doctest.h>

#include <boost/asio/write.hpp>

#include <sys/socket.h>

#include <vector>

using namespace Cardamomhill;

namespace
{

/// A listening socket whose backlog is full, so that the kernel drops the SYN packets of further connections.
class FullBacklogListener
{
public:
    explicit FullBacklogListener(asio::io_context &context)
        : m_acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        listen(m_acceptor.native_handle(), 0);
        constexpr int Fillers = 8;
        for (int i = 0; i < Fillers; ++i) {
            m_fillers.emplace_back(context);
            m_fillers.back().async_connect(m_acceptor.local_endpoint(), [](SystemError) {});
        }
        context.run_for(std::chrono::milliseconds(100));
        context.restart();
    }

    tcp::endpoint endpoint() const
    {
        return m_acceptor.local_endpoint();
    }

private:
    tcp::acceptor m_acceptor;
    std::vector<tcp::socket> m_fillers;
};

/// A server whose answer repeats the same text until the caller closes the connection.
class EndlessServer
{
public:
    EndlessServer(asio::io_context &context, std::string start, std::string piece, Milliseconds pause)
        : m_acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_start(std::move(start))
        , m_piece(std::move(piece))
        , m_pauseBetweenPieces(pause)
    {
        asio::co_spawn(context, serve(), asio::detached);
    }

    tcp::endpoint endpoint() const
    {
        return m_acceptor.local_endpoint();
    }

    bool wasClosed() const
    {
        return m_wasClosed;
    }

private:
    Task<> serve()
    {
        SystemError error;
        tcp::socket socket(m_acceptor.get_executor());
        co_await m_acceptor.async_accept(socket, storeError(error));
        co_await asio::async_write(socket, asio::buffer(m_start), storeError(error));
        asio::steady_timer timer(m_acceptor.get_executor());
        while (!error) {
            co_await asio::async_write(socket, asio::buffer(m_piece), storeError(error));
            if (m_pauseBetweenPieces > Milliseconds(0) && !error) {
                timer.expires_after(m_pauseBetweenPieces);
                co_await timer.async_wait(storeError(error));
            }
        }
        m_wasClosed = true;
    }

    tcp::acceptor m_acceptor;
    std::string m_start;
    std::string m_piece;
    Milliseconds m_pauseBetweenPieces;
    bool m_wasClosed = false;
};

const std::string ChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Whether a call to a server whose answer never ends fails within its timeout and closes the connection.
bool failsWithinTimeout(const std::string &start, const std::string &piece, Milliseconds pause)
{
    constexpr std::size_t MaxBytes = 100'000;
    constexpr Milliseconds Timeout{300};
    asio::io_context context;
    EndlessServer server(context, start, piece, pause);
    HttpClient client(context, server.endpoint(), MaxBytes);
    bool hasFailed = false;
    asio::co_spawn(
        context,
        [&]() -> Task<> {
            auto request = makeHttpRequest("GET", "/");
            const auto response = co_await client.call(std::move(request), Timeout);
            hasFailed = response.has_error() && !response.error().isNotSent;
        },
        asio::detached);
    context.run_for(std::chrono::seconds(2));
    return hasFailed && server.wasClosed();
}

} // namespace

TEST_CASE(
    "a call whose answer never ends fails within its timeout, whether the head or the body is endless, fast or slow")
{
    constexpr Milliseconds NoPause{0};
    constexpr Milliseconds Pause{50};
    const std::string chunk = "3e8\r\n" + std::string(1000, 'x') + "\r\n";
    CHECK(failsWithinTimeout(ChunkedHead, chunk, NoPause));
    CHECK(failsWithinTimeout(ChunkedHead, "1\r\nx\r\n", Pause));
    CHECK(failsWithinTimeout("HTTP/1.1 200 OK\r\n", "X-More: x\r\n", NoPause));
    CHECK(failsWithinTimeout("HTTP/1.1 200 OK\r\n", "X-More: x\r\n", Pause));
    CHECK(failsWithinTimeout("", "HTTP/1.1 100 Continue\r\n\r\n", NoPause));
    CHECK(failsWithinTimeout("", "no answer", NoPause));
    CHECK(failsWithinTimeout("HTTP/1.1 200 OK\r\n\r\n", std::string(1000, 'x'), NoPause));
}

TEST_CASE("an attempt to connect times out soon although the call has a long timeout")
{
    asio::io_context context;
    const FullBacklogListener listener(context);
    HttpClient client(context, listener.endpoint());
    bool hasEnded = false;
    bool wasSent = true;
    const auto start = steadyNow();
    asio::co_spawn(
        context,
        [&]() -> Task<> {
            auto request = makeHttpRequest("GET", "/");
            const auto response = co_await client.call(std::move(request), Seconds(30));
            hasEnded = true;
            wasSent = response.has_value() || !response.error().isNotSent;
        },
        asio::detached);
    context.run_for(std::chrono::seconds(3));
    CHECK(hasEnded);
    CHECK_FALSE(wasSent);
    CHECK(steadyNow() - start < Seconds(4));
}

TEST_CASE("abort() makes the call in progress fail and does nothing when there is none")
{
    asio::io_context context;
    EndlessServer server(context, "HTTP/1.1 200 OK\r\n", "X-More: x\r\n", Milliseconds(50));
    HttpClient client(context, server.endpoint());
    client.abort();
    bool hasFailed = false;
    asio::co_spawn(
        context,
        [&]() -> Task<> {
            auto request = makeHttpRequest("GET", "/");
            const auto response = co_await client.call(std::move(request), Seconds(30));
            hasFailed = response.has_error();
        },
        asio::detached);
    context.run_for(std::chrono::milliseconds(200));
    CHECK_FALSE(hasFailed);
    client.abort();
    context.run_for(std::chrono::milliseconds(500));
    CHECK(hasFailed);
    CHECK(server.wasClosed());
}

TEST_CASE("a call opens a new connection after the server has closed the kept-alive one")
{
    asio::io_context context;
    HttpLimits limits;
    limits.idleTimeout = Milliseconds(50);
    HttpServer server(context, limits, [](HttpExchange &exchange) -> Task<> {
        const std::string body = "ok";
        co_await exchange.sendAnswer(200, "", body);
    });
    const auto endpoint = freeEndpoint(context);
    REQUIRE(server.listen(endpoint, false).has_value());
    HttpClient client(context, endpoint);
    int answered = 0;
    const auto call = [&]() -> Task<> {
        const auto answer = co_await client.call(makeHttpRequest("GET", "/x"), Milliseconds(1000));
        answered += answer.has_value() ? 1 : 0;
    };
    for (int calls = 1; calls <= 3; ++calls) {
        asio::co_spawn(context, call(), asio::detached);
        context.restart();
        context.run_for(Milliseconds(200));
        CHECK(answered == calls);
    }
}
