#include "net/httpserver.h"

#include "logging/logexception.h"
#include "net/httpexchange.h"
#include "net/listen.h"
#include "net/messagereader.h"
#include "net/spawn.h"
#include "net/steadynow.h"

#include <algorithm>
#include <utility>

#include <sys/socket.h>

namespace Cardamomhill
{

namespace http = boost::beast::http;

namespace
{

constexpr std::size_t ReadBytes = 4096;
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusRequestTimeout = 408;
constexpr unsigned StatusPayloadTooLarge = 413;
constexpr unsigned StatusHeaderTooLarge = 431;
constexpr unsigned StatusUnavailable = 503;
/// How long a server reads on and discards what it gets before it closes a connection: while a caller may still send
/// the rest of a request that was refused, and after the last answer, when a caller may have sent another request.
constexpr Milliseconds RefusedDiscardTimeout{1000};
constexpr Milliseconds LastDiscardTimeout{300};
constexpr std::size_t MaxDiscardedBytes = 8 * 1024 * 1024;
constexpr std::size_t DiscardBufferBytes = 16 * 1024;
/// How long idle connections stay open once the server stops, for requests that callers have sent or are about to send.
constexpr Milliseconds IdleTimeoutAfterStop{300};
/// Time after which a connection that waits for its caller may be closed for another one.
constexpr Milliseconds MinDisplacementWait{500};
/// Time between attempts to accept connections when that fails, as without a free descriptor.
constexpr Milliseconds AcceptRetryPeriod{50};
/// Bodies up to this size are read before a request is refused, so that its connection can carry another one.
constexpr std::uint64_t MaxBodyBytesOfRefused = 16 * 1024;
/// Bodies that find no memory are short of it until callers have sent or lost theirs.
const std::string OverloadedRetryAfter = "1";
constexpr std::string_view ProblemType = "application/problem+json";

/// The HTTP status for a request that could not be read, or 0 if the caller closed the connection between requests.
unsigned errorStatus(const NetError &error)
{
    switch (error.code) {
    case NetErrorCode::Closed:
        return 0;
    case NetErrorCode::BodyTooLarge:
        return StatusPayloadTooLarge;
    case NetErrorCode::HeaderTooLarge:
        return StatusHeaderTooLarge;
    case NetErrorCode::Cancelled:
        // Only the request timer cancels reads, so the request has timed out.
        return StatusRequestTimeout;
    case NetErrorCode::Overloaded:
        return StatusUnavailable;
    default:
        return StatusBadRequest;
    }
}

std::string problemJson(unsigned status)
{
    std::string_view name = "malformed-request";
    if (status == StatusPayloadTooLarge || status == StatusHeaderTooLarge) {
        name = "request-too-large";
    } else if (status == StatusRequestTimeout) {
        name = "request-too-slow";
    } else if (status == StatusUnavailable) {
        name = "overloaded";
    }
    return R"({"type":"urn:cardamomhill:problem:)" + std::string(name) + R"(","title":")" + std::string(name)
        + R"(","status":)" + std::to_string(status) + R"(,"outcome":"not-sent"})";
}

} // namespace

struct HttpServer::Connection {
    explicit Connection(tcp::socket socket)
        : stream(std::move(socket))
        , reader(stream, ReadBytes)
    {
        body.cancelRead = [this] {
            SystemError ignored;
            stream.socket().cancel(ignored);
        };
    }

    /// Whether the connection can be closed although its request, if any, has no answer yet.
    bool canBeDisplaced(SteadyTime now)
    {
        SystemError ignored;
        const bool waits = waitsSince && now - *waitsSince >= MinDisplacementWait && stream.socket().is_open();
        return waits && (!isIdle || stream.socket().available(ignored) == 0);
    }

    beast::tcp_stream stream;
    RequestReader reader;
    RequestBody body;
    bool isBodySkipped = false;
    bool isIdle = true;
    /// Since when nothing but bytes of the caller can continue the connection; nothing while a request is served.
    std::optional<SteadyTime> waitsSince;
    /// How long to read on before the connection is closed.
    Milliseconds discardTimeout = LastDiscardTimeout;
};

HttpServer::HttpServer(asio::io_context &context, HttpLimits limits, Handler handler)
    : m_context(context)
    , m_limits(limits)
    , m_handler(std::move(handler))
    , m_bodyMemory(limits)
    , m_answerBudget(std::make_shared<AnswerBudget>(limits.maxTotalAnswerBytes))
    , m_discardBuffer(DiscardBufferBytes)
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
    m_bodyMemory.setLimits(limits);
    m_answerBudget->setTotal(limits.maxTotalAnswerBytes);
}

void HttpServer::setHeadCheck(HeadCheck check)
{
    m_headCheck = std::move(check);
}

void HttpServer::setCloseAfterAnswers(bool closes)
{
    m_closesAfterAnswers = closes || m_isStopping;
}

std::size_t HttpServer::stopAccepting()
{
    m_isStopping = true;
    m_closesAfterAnswers = true;
    const auto backlog = acceptBacklog();
    SystemError ignored;
    m_acceptor.close(ignored);
    spawn(m_context.get_executor(), "http-close-idle", closeIdleConnections());
    return backlog;
}

std::size_t HttpServer::connectionCount() const
{
    return m_connectionCount;
}

std::size_t HttpServer::bodyBytes() const
{
    return m_bodyMemory.usedBytes();
}

std::size_t HttpServer::answerBytes() const
{
    return m_answerBudget->usedBytes();
}

HttpServerCounts HttpServer::counts() const
{
    auto counts = m_counts;
    counts.refusedBodies = m_bodyMemory.refusedCount();
    counts.droppedBodies = m_bodyMemory.droppedCount();
    counts.refusedAnswers = m_answerBudget->refusedCount();
    counts.displacedAnswers = m_answerBudget->displacedCount();
    return counts;
}

Task<> HttpServer::acceptLoop()
{
    asio::steady_timer timer(m_context);
    while (m_acceptor.is_open()) {
        SystemError error;
        tcp::socket socket(m_context);
        co_await m_acceptor.async_accept(socket, storeError(error));
        if (!error) {
            startConnection(std::move(socket));
        } else if (m_acceptor.is_open()) {
            // Without a wait the loop would take all processor time while there is no free descriptor.
            displaceConnection();
            timer.expires_after(AcceptRetryPeriod);
            co_await timer.async_wait(storeError(error));
        }
    }
}

std::size_t HttpServer::acceptBacklog()
{
    std::size_t accepted = 0;
    SystemError error;
    m_acceptor.non_blocking(true, error);
    while (!error) {
        tcp::socket socket(m_context);
        m_acceptor.accept(socket, error);
        if (!error) {
            startConnection(std::move(socket));
            ++accepted;
        }
    }
    return accepted;
}

void HttpServer::startConnection(tcp::socket socket)
{
    if (m_connectionCount >= m_limits.maxConnections && !displaceConnection()) {
        // A connection over the limit is closed at once, by the socket's destructor, so that memory stays bounded.
        ++m_counts.refusedConnections;
        return;
    }
    SystemError ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    if (m_limits.maxSendQueueBytes > 0) {
        limitUnsentBytes(socket, m_limits.maxSendQueueBytes / 2);
    }
    const auto connection = std::make_shared<Connection>(std::move(socket));
    ++m_connectionCount;
    const auto position = m_connections.insert(m_connections.end(), connection);
    const auto onEnd = [this, connection, position](const std::exception_ptr &exception) {
        m_bodyMemory.release(connection->body);
        m_connections.erase(position);
        --m_connectionCount;
        logException("http-connection", exception);
    };
    asio::co_spawn(m_context, serveConnection(connection), onEnd);
}

bool HttpServer::displaceConnection()
{
    const auto now = steadyNow();
    std::shared_ptr<Connection> longest;
    for (const auto &weak : m_connections) {
        const auto connection = weak.lock();
        if (connection && connection->canBeDisplaced(now)
            && (!longest || *connection->waitsSince < *longest->waitsSince)) {
            longest = connection;
        }
    }
    if (longest) {
        ++m_counts.displacedConnections;
        longest->stream.close();
    }
    return longest != nullptr;
}

Task<> HttpServer::closeIdleConnections()
{
    asio::steady_timer timer(m_context, IdleTimeoutAfterStop);
    SystemError ignored;
    co_await timer.async_wait(storeError(ignored));
    for (const auto &weak : m_connections) {
        const auto connection = weak.lock();
        const bool hasUnreadData = connection && connection->stream.socket().available(ignored) > 0;
        if (connection && connection->isIdle && !hasUnreadData) {
            connection->stream.close();
        }
    }
}

Task<> HttpServer::serveConnection(std::shared_ptr<Connection> connection)
{
    // Once the server stops, the loop ends after the first answer that began after the stop.
    bool reusable = true;
    while (reusable) {
        reusable = co_await serveRequest(*connection);
    }
    connection->waitsSince = steadyNow();
    co_await discardUnread(*connection);
    connection->stream.close();
}

std::shared_ptr<asio::steady_timer> HttpServer::startRequestTimer(Connection &connection)
{
    // The timeout of tcp_stream would close the socket, so that no error answer could be sent.
    auto timer = std::make_shared<asio::steady_timer>(m_context, m_limits.requestTimeout);
    timer->async_wait([timer, &connection](SystemError error) {
        if (!error) {
            SystemError ignored;
            connection.stream.socket().cancel(ignored);
        }
    });
    return timer;
}

Task<bool> HttpServer::serveRequest(Connection &connection)
{
    connection.isIdle = !connection.reader.hasUnreadBytes();
    connection.isBodySkipped = false;
    connection.waitsSince = steadyNow();
    if (connection.isIdle) {
        connection.stream.expires_after(m_isStopping ? std::min(IdleTimeoutAfterStop, m_limits.idleTimeout)
                                                     : m_limits.idleTimeout);
        const auto received = co_await connection.reader.receive();
        if (received.has_error()) {
            co_return false;
        }
        connection.isIdle = false;
    }
    connection.stream.expires_never();
    const auto timer = startRequestTimer(connection);
    auto request = co_await readRequest(connection);
    timer->cancel();
    connection.waitsSince.reset();
    const bool wasRead = request.has_value();
    const unsigned status = wasRead ? 0 : errorStatus(request.error());
    HttpExchange exchange(connection.stream,
                          wasRead ? std::move(request.value()) : HttpRequest(),
                          m_limits,
                          m_answerBudget,
                          wasRead && !connection.isBodySkipped ? &m_closesAfterAnswers : nullptr);
    if (connection.isBodySkipped) {
        exchange.setBodySkipped();
        connection.discardTimeout = RefusedDiscardTimeout;
    }
    if (wasRead) {
        co_await m_handler(exchange);
        exchange.stopWatching();
    } else if (status != 0) {
        // What has arrived is not needed any more, and the answer may take long to be sent.
        m_bodyMemory.release(connection.body);
        connection.reader.reset();
        HttpHeaders headers;
        if (status == StatusUnavailable) {
            headers.emplace_back("Retry-After", OverloadedRetryAfter);
        }
        co_await exchange.sendAnswer(status, std::string(ProblemType), problemJson(status), std::move(headers));
        connection.discardTimeout = RefusedDiscardTimeout;
    }
    m_bodyMemory.release(connection.body);
    co_return exchange.isReusable();
}

Task<Result<HttpRequest, NetError>> HttpServer::readRequest(Connection &connection)
{
    auto &reader = connection.reader;
    const auto head = co_await reader.readHead(m_limits.maxHeaderBytes, m_limits.maxBodyBytes);
    if (head.has_error()) {
        co_return failure(head.error());
    }
    const auto body = co_await readBody(connection);
    if (body.has_error()) {
        co_return failure(body.error());
    }
    HttpRequest request(reader.takeHead());
    request.body() = std::move(connection.body.bytes);
    co_return request;
}

Task<Result<void, NetError>> HttpServer::readBody(Connection &connection)
{
    auto &reader = connection.reader;
    auto &body = connection.body;
    const auto maxBodyBytes = m_limits.maxBodyBytes;
    body.headBytes = BodyMemory::headBytes(reader.head());
    bool isChecked = false;
    if (body.headBytes > 0 && !m_bodyMemory.makeRoom(body, 0, reader.statedLength())) {
        co_return failure(NetError{NetErrorCode::Overloaded, "no memory for the head"});
    }
    auto appended = reader.appendReceived(body.bytes, maxBodyBytes);
    // A body that arrives with its head is not counted: it has at most the bytes of one read.
    while (appended.has_value() && !reader.isDone()) {
        if (!std::exchange(isChecked, true) && skipsBody(connection)) {
            connection.isBodySkipped = true;
            ++m_counts.skippedBodies;
            m_bodyMemory.release(body);
            co_return success();
        }
        if (!m_bodyMemory.makeRoom(body, body.bytes.size() + ReadBytes, reader.statedLength())) {
            co_return failure(NetError{NetErrorCode::Overloaded, "no memory for the body"});
        }
        const auto received = co_await reader.receiveBody();
        if (body.isDropped) {
            co_return failure(NetError{NetErrorCode::Overloaded, "the body gave way to another one"});
        }
        if (received.has_error()) {
            co_return failure(received.error());
        }
        appended = reader.appendReceived(body.bytes, maxBodyBytes);
        if (m_bodyMemory.recordReceived(body)) {
            connection.waitsSince = steadyNow();
        }
    }
    m_bodyMemory.complete(body);
    co_return appended;
}

bool HttpServer::skipsBody(const Connection &connection) const
{
    const auto length = connection.reader.statedLength();
    const bool isSmall = length && *length <= MaxBodyBytesOfRefused;
    return !isSmall && m_headCheck && m_headCheck(connection.reader.head());
}

Task<> HttpServer::discardUnread(Connection &connection)
{
    SystemError error;
    connection.stream.socket().shutdown(tcp::socket::shutdown_send, error);
    connection.stream.expires_after(connection.discardTimeout);
    for (std::size_t discarded = 0; !error && discarded < MaxDiscardedBytes;) {
        discarded += co_await connection.stream.async_read_some(asio::buffer(m_discardBuffer), storeError(error));
    }
}

} // namespace Cardamomhill
