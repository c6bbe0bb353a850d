#include "net/httpclient.h"
#include "net/httpclientconnection.h"
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

/// A server that sends an answer in given pieces, each in a segment of its own, and keeps the connection open.
class PiecewiseServer
{
public:
    PiecewiseServer(asio::io_context &context, std::vector<std::string> pieces)
        : m_acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_pieces(std::move(pieces))
    {
        asio::co_spawn(context, serve(), asio::detached);
    }

    tcp::endpoint endpoint() const
    {
        return m_acceptor.local_endpoint();
    }

private:
    Task<> serve()
    {
        SystemError error;
        tcp::socket socket(m_acceptor.get_executor());
        co_await m_acceptor.async_accept(socket, storeError(error));
        socket.set_option(tcp::no_delay(true), error);
        asio::steady_timer timer(m_acceptor.get_executor());
        for (const auto &piece : m_pieces) {
            co_await asio::async_write(socket, asio::buffer(piece), storeError(error));
            timer.expires_after(Milliseconds(2));
            co_await timer.async_wait(storeError(error));
        }
        char byte = 0;
        co_await socket.async_read_some(asio::buffer(&byte, 1), storeError(error));
        timer.expires_after(Seconds(1));
        co_await timer.async_wait(storeError(error));
    }

    tcp::acceptor m_acceptor;
    std::vector<std::string> m_pieces;
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

namespace
{

/// The answer to a call to a server that sends these pieces, or the error of the call.
Result<HttpResponse, NetError> answerFrom(std::vector<std::string> pieces)
{
    asio::io_context context;
    PiecewiseServer server(context, std::move(pieces));
    HttpClient client(context, server.endpoint());
    Result<HttpResponse, NetError> answer = failure(NetError{NetErrorCode::TimedOut, "the test"});
    asio::co_spawn(
        context,
        [&]() -> Task<> {
            auto request = makeHttpRequest("GET", "/");
            auto response = co_await client.call(std::move(request), Milliseconds(500));
            if (response.has_value()) {
                answer = std::move(response.value());
            } else {
                answer = failure(response.error().error);
            }
            context.stop();
        },
        asio::detached);
    context.run_for(std::chrono::seconds(2));
    return answer;
}

} // namespace

// Guards against an exception in the handler of a read, which nothing catches.
TEST_CASE("a trailer field that is longer than a parser can keep ends its call, not the process")
{
    constexpr std::size_t FieldBytes = 70'000;
    const auto answer
        = answerFrom({ChunkedHead, "2\r\nok\r\n0\r\nX-Long: " + std::string(FieldBytes, 'x') + "\r\n\r\n"});
    REQUIRE(answer.has_error());
    CHECK(answer.error().code != NetErrorCode::TimedOut);
    const auto shortTrailer = answerFrom({ChunkedHead, "2\r\nok\r\n0\r\nX-Short: x\r\n\r\n"});
    REQUIRE(shortTrailer.has_value());
    CHECK(shortTrailer.value().body == "ok");
}

// Guards against an assertion of the parser for bodies, which ended the process.
TEST_CASE("a body in chunks is read although it arrives byte by byte")
{
    for (const std::string body : {"0\r\n\r\n", "2\r\nok\r\n0\r\n\r\n", "2;a=b\r\nok\r\n0\r\nX: y\r\n\r\n"}) {
        CAPTURE(body);
        std::vector<std::string> pieces{ChunkedHead};
        for (const char byte : body) {
            pieces.emplace_back(1, byte);
        }
        const auto answer = answerFrom(std::move(pieces));
        REQUIRE(answer.has_value());
        CHECK(answer.value().body == (body.starts_with('0') ? "" : "ok"));
    }
}

// Guards against a line that the parser takes for a part of the value before it.
TEST_CASE("an answer with a line that begins with a blank fails, and one whose body begins with a blank does not")
{
    const std::string start = "HTTP/1.1 200 OK\r\nX-Before: 1\r\n";
    const std::string lengthAndBody = "Content-Length: 4\r\n\r\n  ok";
    for (const std::string line : {"", " X-Odd: 1\r\n", "\tX-Odd: 1\r\n", " \r\n"}) {
        const auto text = std::string(start).append(line).append(lengthAndBody);
        for (std::size_t splitAt = 1; splitAt < text.size(); ++splitAt) {
            CAPTURE(line);
            CAPTURE(splitAt);
            const auto answer = answerFrom({text.substr(0, splitAt), text.substr(splitAt)});
            REQUIRE(answer.has_value() == line.empty());
            if (answer.has_value()) {
                CHECK(answer.value().body == "  ok");
            } else {
                CHECK(answer.error().code == NetErrorCode::MalformedMessage);
            }
        }
    }
}

// Guards against a process that keeps all bytes of a line that never ends.
TEST_CASE("the line of a chunk and the trailer that never end fail their call long before its timeout")
{
    constexpr Milliseconds Timeout{1500};
    for (const std::string start : {"1;", "0\r\nX-More: "}) {
        CAPTURE(start);
        asio::io_context context;
        EndlessServer server(context, ChunkedHead + start, std::string(1000, 'x'), Milliseconds(0));
        HttpClient client(context, server.endpoint());
        bool hasFailed = false;
        const auto begun = steadyNow();
        asio::co_spawn(
            context,
            [&]() -> Task<> {
                auto request = makeHttpRequest("GET", "/");
                const auto response = co_await client.call(std::move(request), Timeout);
                hasFailed = response.has_error();
                context.stop();
            },
            asio::detached);
        context.run_for(2 * Timeout);
        CHECK(hasFailed);
        CHECK(steadyNow() - begun < Timeout / 3);
    }
}

TEST_CASE("single bytes of a chunk's line do not prolong the wait for the next piece of a body")
{
    CHECK(failsWithinTimeout(ChunkedHead + "1;", "x", Milliseconds(50)));
    CHECK(failsWithinTimeout(ChunkedHead + "0\r\nX-More: ", "x", Milliseconds(50)));
}

TEST_CASE("a read does not time out before its timeout")
{
    constexpr Milliseconds Timeout{50};
    asio::io_context context;
    PiecewiseServer server(context, {ChunkedHead});
    Microseconds wait{0};
    asio::co_spawn(
        context,
        [&]() -> Task<> {
            HttpClientConnection connection(context);
            co_await connection.connect(server.endpoint(), Timeout);
            auto request = makeHttpRequest("GET", "/");
            const auto started = co_await connection.start(std::move(request), Timeout);
            CHECK(started.has_value());
            const auto begun = steadyNow();
            const auto piece = co_await connection.readSome(Timeout);
            CHECK(piece.has_error());
            wait = steadyNow() - begun;
            context.stop();
        },
        asio::detached);
    context.run_for(std::chrono::seconds(2));
    CHECK(wait >= Timeout);
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
