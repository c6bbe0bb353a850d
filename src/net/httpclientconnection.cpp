#include "net/httpclientconnection.h"

#include "net/steadynow.h"
#include "net/unresponsivepeer.h"

#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>

#include <limits>

namespace Cardamomhill
{

namespace http = boost::beast::http;

namespace
{

/// Largest number of body bytes that discardAnswer() discards before it gives up.
constexpr std::size_t MaxDiscardedBytes = 1024 * 1024;
constexpr std::uint32_t MaxHeaderBytes = 8 * 1024;
/// Largest number of interim (1xx) answers, such as 100 Continue, before the final one.
constexpr int MaxInterimAnswers = 8;
/// The statuses of HTTP are those between these two (RFC 9110, section 15).
constexpr unsigned FirstStatus = 100;
constexpr unsigned LastStatus = 599;

NetError netError(NetErrorCode code, const SystemError &error)
{
    return {error == beast::error::timeout ? NetErrorCode::TimedOut : code, error.message()};
}

} // namespace

HttpClientConnection::HttpClientConnection(asio::io_context &context, std::size_t readBufferBytes)
    : m_stream(context)
    , m_reader(m_stream, readBufferBytes)
{
}

void HttpClientConnection::setReceiveQueueBytes(std::size_t bytes)
{
    m_receiveQueueBytes = bytes;
}

Task<Result<void, NetError>> HttpClientConnection::connect(const tcp::endpoint &endpoint, Milliseconds timeout)
{
    m_stream.expires_after(timeout);
    SystemError error;
    if (m_receiveQueueBytes > 0) {
        // Set before the connection is opened, since that determines the largest window.
        m_stream.socket().open(endpoint.protocol(), error);
        m_stream.socket().set_option(asio::socket_base::receive_buffer_size(static_cast<int>(m_receiveQueueBytes)),
                                     error);
    }
    co_await m_stream.async_connect(endpoint, storeError(error));
    if (error) {
        const bool refused = error == asio::error::connection_refused;
        co_return failure(netError(refused ? NetErrorCode::ConnectRefused : NetErrorCode::ConnectFailed, error));
    }
    m_stream.socket().set_option(tcp::no_delay(true), error);
    detectUnresponsivePeer(m_stream.socket());
    co_return success();
}

Task<Result<void, NetError>> HttpClientConnection::start(HttpRequest request, Milliseconds timeout)
{
    co_return co_await sendAndReadHead(request, timeout);
}

template<class Request>
Task<Result<void, NetError>> HttpClientConnection::sendAndReadHead(const Request &request, Milliseconds timeout)
{
    m_stream.expires_after(timeout);
    SystemError error;
    co_await http::async_write(m_stream, request, storeError(error));
    if (error) {
        co_return failure(netError(NetErrorCode::WriteFailed, error));
    }
    m_hasBody = request.method() != http::verb::head;
    co_return co_await readHead(timeout);
}

Task<Result<void, NetError>>
HttpClientConnection::start(HttpRequest::header_type requestHead, std::string_view body, Milliseconds timeout)
{
    http::request<http::span_body<const char>> request(std::move(requestHead));
    request.body() = beast::span<const char>(body.data(), body.size());
    request.prepare_payload();
    co_return co_await sendAndReadHead(request, timeout);
}

Task<Result<void, NetError>> HttpClientConnection::discardAnswer(Milliseconds timeout)
{
    const auto deadline = steadyNow() + timeout;
    std::size_t discarded = 0;
    while (!m_reader.isDone()) {
        // The remaining time, as the full timeout for each piece would set no limit on an endless body.
        auto piece = co_await readSome(timeLeft(deadline));
        if (piece.has_error()) {
            co_return failure(piece.error());
        }
        discarded += piece.value() ? piece.value()->size() : 0;
        if (discarded > MaxDiscardedBytes) {
            co_return failure(
                NetError{NetErrorCode::MalformedMessage, "an answer to be skipped is longer than the limit"});
        }
    }
    co_return co_await readHead(timeLeft(deadline));
}

Task<Result<void, NetError>> HttpClientConnection::readHead(Milliseconds timeout)
{
    constexpr unsigned FirstFinalStatus = 200;
    m_stream.expires_after(timeout);
    for (int interim = 0; interim <= MaxInterimAnswers; ++interim) {
        // No limit for the body: callers of readSome() limit what they keep.
        auto read = co_await m_reader.readHead(MaxHeaderBytes, std::numeric_limits<std::uint64_t>::max(), m_hasBody);
        if (read.has_error()) {
            co_return read;
        }
        if (status() < FirstStatus || status() > LastStatus) {
            co_return failure(NetError{NetErrorCode::MalformedMessage, "status out of range"});
        }
        if (status() >= FirstFinalStatus) {
            co_return read;
        }
    }
    co_return failure(NetError{NetErrorCode::MalformedMessage, "too many interim answers"});
}

unsigned HttpClientConnection::status() const
{
    return m_reader.head().result_int();
}

std::string HttpClientConnection::contentType() const
{
    return std::string(m_reader.head()[http::field::content_type]);
}

const HttpClientConnection::Head &HttpClientConnection::head() const
{
    return m_reader.head();
}

Task<Result<std::optional<std::string>, NetError>> HttpClientConnection::readSome(Milliseconds timeout)
{
    // One deadline for all reads, since bytes that are no data must not prolong the wait for data.
    const auto deadline = steadyNow() + timeout;
    while (!m_reader.isDone()) {
        if (steadyNow() >= deadline) {
            // Checked here too: while data is always ready to read, the stream's timer never expires.
            co_return failure(NetError{NetErrorCode::TimedOut, "the timeout has elapsed"});
        }
        auto piece = m_reader.decodeReceived();
        if (piece.has_error()) {
            co_return failure(piece.error());
        }
        if (!piece.value().empty()) {
            co_return std::optional(std::move(piece.value()));
        }
        if (!m_reader.isDone()) {
            m_stream.expires_at(deadline);
            const auto received = co_await m_reader.receiveBody();
            if (received.has_error()) {
                co_return failure(received.error());
            }
        }
    }
    co_return std::optional<std::string>();
}

bool HttpClientConnection::endsWithConnection() const
{
    return m_reader.endsWithConnection();
}

void HttpClientConnection::cancel()
{
    m_stream.close();
}

bool HttpClientConnection::isReusable() const
{
    return m_reader.isDone() && m_reader.keepsAlive() && !m_reader.hasUnreadBytes();
}

bool HttpClientConnection::isOpenAndIdle()
{
    char byte = 0;
    const auto received = recv(m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void HttpClientConnection::reset()
{
    m_reader.reset();
    m_stream.expires_never();
}

} // namespace Cardamomhill
