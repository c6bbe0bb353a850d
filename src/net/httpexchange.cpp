#include "net/httpexchange.h"

#include "net/answerbudget.h"
#include "net/httplimits.h"
#include "net/steadynow.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <limits>

#include <sys/socket.h>

namespace Cardamomhill
{

namespace http = boost::beast::http;

struct HttpExchange::DisconnectWatch {
    std::function<void()> handler;
};

namespace
{

constexpr unsigned ResetContent = 205;

template<class Response>
void setHeaders(Response &response, const std::string &contentType, const HttpHeaders &headers)
{
    if (!contentType.empty()) {
        response.set(http::field::content_type, contentType);
    }
    for (const auto &[name, value] : headers) {
        response.insert(name, value);
    }
}

/// Whether an answer with this status ends with its head (RFC 9110, sections 15.2, 15.3.5, 15.3.6 and 15.4.5). A 205
/// has no content, but states that with a length.
bool hasNoBody(unsigned status)
{
    constexpr unsigned FirstFinalStatus = 200;
    constexpr unsigned NoContent = 204;
    constexpr unsigned NotModified = 304;
    return status < FirstFinalStatus || status == NoContent || status == ResetContent || status == NotModified;
}

/// The length that the head of a whole answer states: that of its body, or of the body that an answer to HEAD stands
/// for.
boost::optional<std::uint64_t> statedLength(unsigned status, const std::string &body, bool isHeadRequest)
{
    // The length of a relayed answer to HEAD is not known here, and an empty body is no sign of it.
    if (isHeadRequest && body.empty()) {
        return boost::none;
    }
    if (status == ResetContent) {
        return 0;
    }
    return hasNoBody(status) ? boost::none : boost::make_optional<std::uint64_t>(body.size());
}

/// Whether the peer has closed its sending side. Unread data does not count: it is a pipelined request.
bool hasPeerClosed(int socket)
{
    char byte = 0;
    return recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

} // namespace

HttpExchange::HttpExchange(beast::tcp_stream &stream,
                           HttpRequest request,
                           const HttpLimits &limits,
                           std::shared_ptr<AnswerBudget> answerBudget,
                           const bool *closesAfterAnswer)
    : m_stream(stream)
    , m_request(std::move(request))
    , m_limits(limits)
    , m_answerBudget(std::move(answerBudget))
    , m_closesAfterAnswer(closesAfterAnswer)
    , m_version(m_request.version())
    , m_isHeadRequest(m_request.method() == http::verb::head)
    , m_keepAlive(m_request.keep_alive())
{
    // The write that waits ends with an error, as if the caller had closed the connection.
    m_held.abort = [this] { m_stream.close(); };
}

HttpExchange::~HttpExchange()
{
    releaseHeld();
}

bool HttpExchange::tryHold(std::size_t bytes)
{
    return m_answerBudget->take(m_held, bytes);
}

bool HttpExchange::tryHoldInsteadOfStalled(std::size_t bytes)
{
    if (tryHold(bytes)) {
        return true;
    }
    const auto displaced = m_answerBudget->takeFromStalled(m_held, bytes, steadyNow());
    if (!displaced) {
        return false;
    }
    for (const auto *const answer : *displaced) {
        answer->abort();
    }
    return true;
}

void HttpExchange::releaseHeld()
{
    m_answerBudget->release(m_held);
}

std::size_t HttpExchange::pieceBytes() const
{
    return m_limits.maxSendQueueBytes == 0 ? std::numeric_limits<std::size_t>::max() : m_limits.maxSendQueueBytes / 2;
}

Task<bool> HttpExchange::writePieces(std::string_view data)
{
    SystemError error;
    while (!data.empty() && !error) {
        const auto piece = data.substr(0, pieceBytes());
        m_held.waitsSince = steadyNow();
        co_await asio::async_write(m_stream, asio::buffer(piece), storeError(error));
        data.remove_prefix(piece.size());
    }
    m_held.waitsSince.reset();
    co_return !error;
}

const HttpRequest &HttpExchange::request() const
{
    return m_request;
}

void HttpExchange::setBodySkipped()
{
    m_isBodySkipped = true;
}

bool HttpExchange::isBodySkipped() const
{
    return m_isBodySkipped;
}

HttpRequest HttpExchange::takeRequest()
{
    return std::move(m_request);
}

void HttpExchange::abort()
{
    m_hasAnswerBegun = true;
    m_isComplete = false;
    m_stream.close();
}

bool HttpExchange::decideKeepAlive()
{
    m_keepAlive = m_keepAlive && m_closesAfterAnswer != nullptr && !*m_closesAfterAnswer;
    return m_keepAlive;
}

Task<bool> HttpExchange::sendAnswer(unsigned status, std::string contentType, std::string body, HttpHeaders headers)
{
    http::response<http::string_body> response(static_cast<http::status>(status), m_version);
    setHeaders(response, contentType, headers);
    response.keep_alive(decideKeepAlive());
    response.content_length(statedLength(status, body, m_isHeadRequest));
    if (!m_isHeadRequest && !hasNoBody(status)) {
        response.body() = std::move(body);
    }
    m_hasAnswerBegun = true;
    m_stream.expires_after(m_limits.writeTimeout);
    SystemError error;
    if (response.body().size() <= pieceBytes()) {
        co_await http::async_write(m_stream, response, storeError(error));
        m_isComplete = !error;
        co_return !error;
    }
    http::response_serializer<http::string_body> serializer(response);
    co_await http::async_write_header(m_stream, serializer, storeError(error));
    m_isComplete = !error && co_await writePieces(response.body());
    co_return m_isComplete;
}

HttpExchange::BodyEnd HttpExchange::bodyEndOfChunkedAnswer(unsigned status) const
{
    constexpr unsigned FirstVersionWithChunks = 11;
    if (m_isHeadRequest || hasNoBody(status)) {
        return BodyEnd::NoBody;
    }
    return m_version < FirstVersionWithChunks ? BodyEnd::Close : BodyEnd::LastChunk;
}

Task<bool> HttpExchange::beginChunkedAnswer(unsigned status, std::string contentType, HttpHeaders headers)
{
    http::response<http::empty_body> response(static_cast<http::status>(status), m_version);
    setHeaders(response, contentType, headers);
    m_bodyEnd = bodyEndOfChunkedAnswer(status);
    m_keepAlive = m_keepAlive && m_bodyEnd != BodyEnd::Close;
    response.keep_alive(decideKeepAlive());
    response.chunked(m_bodyEnd == BodyEnd::LastChunk);
    if (status == ResetContent) {
        response.content_length(0);
    }
    m_hasAnswerBegun = true;
    m_stream.expires_after(m_limits.writeTimeout);
    http::response_serializer<http::empty_body> serializer(response);
    SystemError error;
    co_await http::async_write_header(m_stream, serializer, storeError(error));
    co_return !error;
}

Task<bool> HttpExchange::sendChunk(std::string_view data)
{
    // A chunk of length zero marks the end of the body.
    if (data.empty() || m_bodyEnd == BodyEnd::NoBody) {
        co_return true;
    }
    m_stream.expires_after(m_limits.writeTimeout);
    if (m_bodyEnd == BodyEnd::Close) {
        co_return co_await writePieces(data);
    }
    SystemError error;
    while (!data.empty() && !error) {
        const auto piece = data.substr(0, pieceBytes());
        m_held.waitsSince = steadyNow();
        co_await asio::async_write(m_stream, http::make_chunk(asio::buffer(piece)), storeError(error));
        data.remove_prefix(piece.size());
    }
    m_held.waitsSince.reset();
    co_return !error;
}

Task<bool> HttpExchange::endChunkedAnswer()
{
    SystemError error;
    if (m_bodyEnd == BodyEnd::LastChunk) {
        m_stream.expires_after(m_limits.writeTimeout);
        co_await asio::async_write(m_stream, http::make_chunk_last(), storeError(error));
    }
    m_isComplete = !error;
    co_return !error;
}

void HttpExchange::watchDisconnect(std::function<void()> handler)
{
    m_disconnectWatch = std::make_shared<DisconnectWatch>();
    m_disconnectWatch->handler = std::move(handler);
    auto &socket = m_stream.socket();
    socket.async_wait(tcp::socket::wait_read,
                      [watch = std::weak_ptr<DisconnectWatch>(m_disconnectWatch),
                       descriptor = socket.native_handle()](SystemError error) {
                          const auto current = watch.lock();
                          if (current && !error && hasPeerClosed(descriptor)) {
                              current->handler();
                          }
                      });
}

void HttpExchange::stopWatching()
{
    if (m_disconnectWatch) {
        m_disconnectWatch.reset();
        SystemError ignored;
        m_stream.socket().cancel(ignored);
    }
}

bool HttpExchange::isReusable() const
{
    return m_keepAlive && m_isComplete;
}

bool HttpExchange::hasAnswerBegun() const
{
    return m_hasAnswerBegun;
}

} // namespace Cardamomhill
