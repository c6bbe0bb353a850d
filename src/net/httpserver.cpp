#include "net/httpserver.h"

#include "logging/logexception.h"
#include "net/httpexchange.h"
#include "net/listen.h"
#include "net/spawn.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <vector>

#include <sys/socket.h>

namespace Cardamomhill
{

namespace http = boost::beast::http;

namespace
{

constexpr std::size_t FirstReadBytes = 4096;
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusRequestTimeout = 408;
constexpr unsigned StatusPayloadTooLarge = 413;
constexpr unsigned StatusHeaderTooLarge = 431;
/// What a caller may go on sending after its request was refused unread, in time and in bytes.
constexpr Milliseconds DiscardTime{1000};
constexpr std::size_t DiscardBytes = 8 * 1024 * 1024;
constexpr std::size_t DiscardPieceBytes = 16 * 1024;
/// For what callers have sent, or are about to send, when the server stops.
constexpr Milliseconds LingerTime{300};
constexpr std::string_view ProblemType = "application/problem+json";

/// The status for a request that could not be read, or 0 when the caller closed between requests.
unsigned statusOf(const SystemError &error)
{
    if (error == http::error::end_of_stream) {
        return 0;
    }
    if (error == http::error::body_limit) {
        return StatusPayloadTooLarge;
    }
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        return StatusHeaderTooLarge;
    }
    // Only the request timer cancels a read.
    if (error == asio::error::operation_aborted) {
        return StatusRequestTimeout;
    }
    return StatusBadRequest;
}

std::string problemOf(unsigned status)
{
    std::string_view name = "malformed-request";
    if (status == StatusPayloadTooLarge || status == StatusHeaderTooLarge) {
        name = "request-too-large";
    } else if (status == StatusRequestTimeout) {
        name = "request-too-slow";
    }
    return R"({"type":"urn:cardamomhill:problem:)" + std::string(name) + R"(","title":")" + std::string(name)
        + R"(","status":)" + std::to_string(status) + R"(,"outcome":"not-sent"})";
}

} // namespace

struct HttpServer::Connection {
    explicit Connection(tcp::socket socket)
        : stream(std::move(socket))
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    bool isIdle = true;
};

HttpServer::HttpServer(asio::io_context &context, HttpLimits limits, Handler handler)
    : m_context(context)
    , m_limits(limits)
    , m_handler(std::move(handler))
    , m_acceptor(context)
{
}

HttpServer::~HttpServer() = default;

Result<void, NetError> HttpServer::listen(const tcp::endpoint &endpoint, bool shared)
{
    BOOST_OUTCOME_TRY(openListener(m_acceptor, endpoint, shared));
    spawn(m_context.get_executor(), "http-accept", acceptLoop());
    return success();
}

void HttpServer::setLimits(const HttpLimits &limits)
{
    m_limits = limits;
}

void HttpServer::setCloseAfterAnswers(bool closes)
{
    m_closesAfterAnswers = closes || m_isStopping;
}

void HttpServer::stopAccepting()
{
    m_isStopping = true;
    m_closesAfterAnswers = true;
    acceptWaiting();
    SystemError ignored;
    m_acceptor.close(ignored);
    spawn(m_context.get_executor(), "http-close-idle", closeIdleLater());
}

std::size_t HttpServer::connectionCount() const
{
    return m_connectionCount;
}

Task<> HttpServer::acceptLoop()
{
    while (m_acceptor.is_open()) {
        SystemError error;
        tcp::socket socket(m_context);
        co_await m_acceptor.async_accept(socket, storeError(error));
        if (!error) {
            take(std::move(socket));
        }
    }
}

void HttpServer::acceptWaiting()
{
    SystemError error;
    m_acceptor.non_blocking(true, error);
    while (!error) {
        tcp::socket socket(m_context);
        m_acceptor.accept(socket, error);
        if (!error) {
            take(std::move(socket));
        }
    }
}

void HttpServer::take(tcp::socket socket)
{
    if (m_connectionCount >= m_limits.connections) {
        // A connection over the limit is closed at once, so that memory stays bounded.
        return;
    }
    SystemError ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto connection = std::make_shared<Connection>(std::move(socket));
    ++m_connectionCount;
    const auto position = m_connections.insert(m_connections.end(), connection);
    asio::co_spawn(m_context, serve(connection), [this, position](const std::exception_ptr &exception) {
        m_connections.erase(position);
        --m_connectionCount;
        logException("http-connection", exception);
    });
}

Task<> HttpServer::closeIdleLater()
{
    asio::steady_timer timer(m_context, LingerTime);
    SystemError ignored;
    co_await timer.async_wait(storeError(ignored));
    for (const auto &weak : m_connections) {
        const auto connection = weak.lock();
        const bool isUnread = connection && connection->stream.socket().available(ignored) > 0;
        if (connection && connection->isIdle && !isUnread) {
            connection->stream.close();
        }
    }
}

Task<> HttpServer::serve(std::shared_ptr<Connection> connection)
{
    // Answers that begin after the server was told to stop end their connections.
    bool reusable = true;
    while (reusable) {
        reusable = co_await serveOne(*connection);
    }
    SystemError ignored;
    connection->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    connection->stream.close();
}

std::shared_ptr<asio::steady_timer> HttpServer::startRequestTimer(Connection &connection)
{
    // The timeout of tcp_stream closes the socket, which leaves no way to answer with the reason.
    auto timer = std::make_shared<asio::steady_timer>(m_context, m_limits.requestTimeout);
    timer->async_wait([timer, &connection](SystemError error) {
        if (!error) {
            SystemError ignored;
            connection.stream.socket().cancel(ignored);
        }
    });
    return timer;
}

Task<bool> HttpServer::serveOne(Connection &connection)
{
    SystemError error;
    connection.isIdle = connection.buffer.size() == 0;
    if (connection.isIdle) {
        connection.stream.expires_after(m_isStopping ? std::min(LingerTime, m_limits.idleTimeout)
                                                     : m_limits.idleTimeout);
        const auto space = connection.buffer.prepare(FirstReadBytes);
        connection.buffer.commit(co_await connection.stream.async_read_some(space, storeError(error)));
        if (error) {
            co_return false;
        }
        connection.isIdle = false;
    }
    http::request_parser<http::string_body> parser;
    parser.body_limit(m_limits.bodyBytes);
    parser.header_limit(m_limits.headerBytes);
    connection.stream.expires_never();
    const auto timer = startRequestTimer(connection);
    co_await http::async_read(connection.stream, connection.buffer, parser, storeError(error));
    timer->cancel();
    const bool wasRead = !error;
    const unsigned status = wasRead ? 0 : statusOf(error);
    HttpExchange exchange(connection.stream,
                          wasRead ? parser.release() : HttpRequest(),
                          m_limits,
                          wasRead ? &m_closesAfterAnswers : nullptr);
    if (wasRead) {
        co_await m_handler(exchange);
        exchange.stopWatching();
    } else if (status != 0) {
        co_await exchange.sendWhole(status, std::string(ProblemType), problemOf(status));
        co_await discardRest(connection);
    }
    co_return exchange.isReusable();
}

Task<> HttpServer::discardRest(Connection &connection)
{
    SystemError error;
    connection.stream.socket().shutdown(tcp::socket::shutdown_send, error);
    connection.stream.expires_after(DiscardTime);
    std::vector<char> piece(DiscardPieceBytes);
    for (std::size_t discarded = 0; !error && discarded < DiscardBytes;) {
        discarded += co_await connection.stream.async_read_some(asio::buffer(piece), storeError(error));
    }
}

} // namespace Cardamomhill
