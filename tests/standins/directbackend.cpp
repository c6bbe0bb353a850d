#include "standins/directbackend.h"

#include "core/clocktypes.h"
#include "net/listen.h"
#include "net/spawn.h"
#include "net/steadynow.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <nlohmann/json.hpp>

namespace Cardamomhill
{

namespace http = boost::beast::http;

namespace
{

constexpr unsigned Ok = 200;
constexpr unsigned NotFound = 404;
constexpr unsigned Misdirected = 421;
constexpr unsigned ServerError = 500;
constexpr unsigned Unavailable = 503;
constexpr int EventCount = 10;
constexpr int EventsBeforeBreak = 4;
constexpr Milliseconds EventInterval{20};
constexpr Milliseconds SlowAnswerDelay{400};
constexpr Milliseconds TrickleInterval{200};
/// Time between two segments that are to arrive one by one.
constexpr Milliseconds SegmentInterval{15};
constexpr std::size_t FillerBytes = 1000;
constexpr const char *RequestIdHeader = "Cardamomhill-Request-Id";
const std::string SealHeader = "Cardamomhill-Response-Seal: seal\r\n";
const std::string LeavingHeader = "Server-Leaving: 1\r\n";
const std::string NotExecutedHeader = "Cardamomhill-Not-Executed: 1\r\n";

std::string contentLengthHeader(const std::string &body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n";
}

/// A number that the caller states in a header, or the default.
int numberIn(const HttpRequest &request, const char *header, int defaultValue)
{
    const auto text = request[header];
    return text.empty() ? defaultValue : std::stoi(std::string(text));
}

std::string chunk(const std::string &text)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

/// A refusal of the call with this id, or one that names no call.
std::string refusalText(const std::string &id)
{
    return "HTTP/1.1 503 X\r\n" + (id.empty() ? "" : std::string(RequestIdHeader) + ": " + id + "\r\n")
        + NotExecutedHeader + "Content-Length: 5\r\n\r\nstale";
}

/// States how much longer the server is cold; empty if it is warm.
std::string coldHeader(SteadyTime coldUntil)
{
    const auto remaining = std::chrono::ceil<Milliseconds>(coldUntil - steadyNow());
    return remaining <= Milliseconds(0) ? std::string()
                                        : "Cardamomhill-Cold-Remaining: " + std::to_string(remaining.count()) + "\r\n";
}

std::string eventText(int number)
{
    return "id: " + std::to_string(number) + "\ndata: event-" + std::to_string(number) + "\n\n";
}

} // namespace

struct DirectBackend::Connection {
    explicit Connection(tcp::socket accepted)
        : socket(std::move(accepted))
    {
    }

    tcp::socket socket;
    beast::flat_buffer buffer;
    /// The id of the call before the current one.
    std::string earlierId;
};

DirectBackend::DirectBackend(asio::io_context &context, std::string id, RunObserver onRun, RunObserver onAnswered)
    : m_context(context)
    , m_id(std::move(id))
    , m_onRun(std::move(onRun))
    , m_onAnswered(std::move(onAnswered))
    , m_acceptor(context)
{
}

Result<void, NetError> DirectBackend::listen(const tcp::endpoint &endpoint)
{
    BOOST_OUTCOME_TRY(openListener(m_acceptor, endpoint, false));
    spawn(m_context.get_executor(), "backend-accept", acceptLoop());
    return success();
}

tcp::endpoint DirectBackend::endpoint() const
{
    return m_acceptor.local_endpoint();
}

void DirectBackend::setLeaving(bool isLeaving)
{
    m_isLeaving = isLeaving;
}

void DirectBackend::setColdUntil(SteadyTime until)
{
    m_coldUntil = until;
}

void DirectBackend::setRetryAfter(std::string retryAfter)
{
    m_retryAfter = std::move(retryAfter);
}

void DirectBackend::setRawAnswer(std::function<RawAnswer(const HttpRequest &)> answer)
{
    m_rawAnswer = std::move(answer);
}

Task<bool> DirectBackend::answerRaw(Connection &connection, const HttpRequest &request)
{
    const auto answer = m_rawAnswer(request);
    const bool sent = co_await write(connection, answer.bytes);
    if (answer.end == ConnectionEnd::KeptOpen) {
        co_return sent;
    }
    // Lets the bytes arrive, which a reset would discard.
    co_await pause();
    SystemError ignored;
    if (answer.end == ConnectionEnd::Reset) {
        connection.socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    connection.socket.close(ignored);
    co_return false;
}

std::uint64_t DirectBackend::callCount() const
{
    return m_callCount;
}

void DirectBackend::stop()
{
    SystemError ignored;
    m_acceptor.close(ignored);
    for (const auto &weak : m_connections) {
        if (const auto connection = weak.lock()) {
            connection->socket.close(ignored);
        }
    }
}

void DirectBackend::countRun(const HttpRequest &request)
{
    ++m_runs[std::string(request[RequestIdHeader])];
    if (m_onRun) {
        m_onRun(request);
    }
}

void DirectBackend::notifyAnswered(const HttpRequest &request, bool wasSent) const
{
    if (wasSent && m_onAnswered) {
        m_onAnswered(request);
    }
}

Task<> DirectBackend::acceptLoop()
{
    while (m_acceptor.is_open()) {
        SystemError error;
        tcp::socket socket(m_context);
        co_await m_acceptor.async_accept(socket, storeError(error));
        if (!error) {
            const auto connection = std::make_shared<Connection>(std::move(socket));
            m_connections.remove_if([](const auto &weak) { return weak.expired(); });
            m_connections.push_back(connection);
            spawn(m_context.get_executor(), "backend-connection", serve(connection));
        }
    }
}

Task<> DirectBackend::serve(std::shared_ptr<Connection> connection)
{
    bool isOpen = true;
    while (isOpen) {
        http::request<http::string_body> request;
        SystemError error;
        co_await http::async_read(connection->socket, connection->buffer, request, storeError(error));
        if (error) {
            co_return;
        }
        isOpen = co_await answer(*connection, request);
        connection->earlierId = std::string(request[RequestIdHeader]);
    }
}

Task<bool> DirectBackend::write(Connection &connection, std::string text)
{
    SystemError error;
    co_await asio::async_write(connection.socket, asio::buffer(text), storeError(error));
    m_abandoned += error ? 1 : 0;
    co_return !error;
}

std::string DirectBackend::responseHead(const HttpRequest &request, unsigned status, const std::string &headers) const
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + RequestIdHeader + ": "
        + std::string(request[RequestIdHeader]) + "\r\n" + (m_isLeaving ? LeavingHeader : "") + coldHeader(m_coldUntil)
        + headers + "\r\n";
}

std::string DirectBackend::description(const HttpRequest &request) const
{
    const auto header = [&request](const char *name) { return std::string(request[name]); };
    return nlohmann::json{{"server", m_id},
                          {"method", std::string(request.method_string())},
                          {"target", std::string(request.target())},
                          {"organisation", header("Cardamomhill-Tenant")},
                          {"key", header("Authorization")},
                          {"instance", header("Cardamomhill-Target-Instance")},
                          {"private", header("X-Private")},
                          {"deadline", header("Cardamomhill-Request-Deadline")},
                          {"body", request.body()}}
        .dump();
}

Task<bool> DirectBackend::answerCorrectly(Connection &connection, const HttpRequest &request, bool twice)
{
    const std::string body = description(request);
    const std::string text = responseHead(request, Ok, SealHeader + contentLengthHeader(body)) + body;
    const std::string copies = twice ? text + text : text;
    const bool sent = co_await write(connection, copies);
    notifyAnswered(request, sent);
    co_return sent;
}

Task<bool> DirectBackend::stream(Connection &connection, const HttpRequest &request, bool breaks)
{
    const std::string last(request["Last-Event-Id"]);
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    const std::string start
        = responseHead(request, Ok, SealHeader + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
    bool sent = co_await write(connection, start);
    asio::steady_timer timer(m_context);
    const int count = numberIn(request, "X-Events", EventCount);
    const Milliseconds interval(numberIn(request, "X-Event-Interval-Ms", EventInterval.count()));
    for (int number = first; sent && number <= count; ++number) {
        if (breaks && number > EventsBeforeBreak) {
            const std::string part = chunk(eventText(number).substr(0, 5));
            co_await write(connection, part);
            co_return false;
        }
        const auto lastInterval
            = Milliseconds(numberIn(request, "X-Last-Interval-Ms", static_cast<int>(interval.count())));
        timer.expires_after(number == count ? lastInterval : interval);
        SystemError error;
        co_await timer.async_wait(storeError(error));
        const std::string event = chunk(eventText(number));
        sent = co_await write(connection, event);
    }
    if (sent) {
        const std::string end = "0\r\n\r\n";
        sent = co_await write(connection, end);
    }
    notifyAnswered(request, sent);
    co_return sent;
}

Task<> DirectBackend::pause()
{
    asio::steady_timer timer(m_context, SegmentInterval);
    SystemError ignored;
    co_await timer.async_wait(storeError(ignored));
}

Task<bool> DirectBackend::answerWithRefusal(Connection &connection, const HttpRequest &request, const std::string &when)
{
    const std::string body = description(request);
    const std::string correct = responseHead(request, Ok, SealHeader + contentLengthHeader(body)) + body;
    const std::string own = refusalText(std::string(request[RequestIdHeader]));
    const std::string earlier = refusalText(when == "unnamed" ? std::string() : connection.earlierId);
    if (when == "after") {
        const std::string both = correct + own;
        co_return co_await write(connection, both);
    }
    if (when == "late") {
        const bool sent = co_await write(connection, correct);
        co_await pause();
        co_return sent &&co_await write(connection, own);
    }
    if (connection.earlierId.empty()) {
        co_return co_await write(connection, correct);
    }
    if (when == "joined") {
        const std::string both = earlier + correct;
        co_return co_await write(connection, both);
    }
    const auto splitAt = when == "split" ? earlier.find(connection.earlierId) + 1 : earlier.size();
    const std::string first = earlier.substr(0, splitAt);
    const std::string rest = earlier.substr(splitAt);
    co_await write(connection, first);
    co_await pause();
    co_await write(connection, rest);
    co_await pause();
    co_return co_await write(connection, correct);
}

Task<bool> DirectBackend::refuseInSegments(Connection &connection, const HttpRequest &request)
{
    const std::string id(request[RequestIdHeader]);
    const std::string text = refusalText(id);
    const auto splitAt = text.find(id) + 1;
    const std::string first = text.substr(0, splitAt);
    const std::string rest = text.substr(splitAt);
    co_await write(connection, first);
    co_await pause();
    co_return co_await write(connection, rest);
}

Task<bool> DirectBackend::answerPaused(Connection &connection, const HttpRequest &request, const std::string &fault)
{
    const bool isResumed = !request["Last-Event-Id"].empty();
    if (isResumed && fault == "refused") {
        const std::string text = responseHead(request, Unavailable, NotExecutedHeader + "Content-Length: 0\r\n");
        co_return co_await write(connection, text);
    }
    countRun(request);
    if (isResumed && fault == "closed") {
        co_return false;
    }
    if (isResumed && fault == "taken") {
        auto quickRequest = request;
        quickRequest.erase("X-Last-Interval-Ms");
        co_return co_await stream(connection, quickRequest, false);
    }
    co_return co_await stream(connection, request, false);
}

Task<bool> DirectBackend::answerResumed(Connection &connection, const HttpRequest &request, const std::string &fault)
{
    const std::string body = "error text\n\n";
    const std::string length = contentLengthHeader(body);
    const std::string events = "Content-Type: text/event-stream\r\n";
    std::string text;
    bool isKept = true;
    if (fault == "error") {
        text = responseHead(request, ServerError, SealHeader + length) + body;
    } else if (fault == "refused") {
        text = responseHead(request, Unavailable, NotExecutedHeader + length) + body;
    } else if (fault == "unsigned") {
        text = responseHead(request, Ok, length) + body;
    } else if (fault == "plain") {
        text = responseHead(request, Ok, SealHeader + "Content-Type: text/plain\r\n" + length) + body;
    } else if (fault == "empty") {
        text = responseHead(request, Ok, SealHeader + "Content-Type: text/plain\r\nContent-Length: 0\r\n");
    } else if (fault == "not-found") {
        text = responseHead(request, NotFound, SealHeader + length) + body;
    } else if (fault == "cut-head") {
        text = responseHead(request, Ok, SealHeader + events);
        text.resize(text.size() / 2);
        isKept = false;
    } else {
        // The head and the body of an error in place of the next chunk.
        text = responseHead(request, Ok, SealHeader + events + "Transfer-Encoding: chunked\r\n")
            + responseHead(request, ServerError, SealHeader + length) + body;
    }
    const bool sent = co_await write(connection, text);
    co_return sent &&isKept;
}

Task<bool> DirectBackend::writeEndlessly(Connection &connection, const std::string &text, Milliseconds interval)
{
    asio::steady_timer timer(m_context);
    SystemError error;
    bool sent = true;
    while (sent && !error) {
        sent = co_await write(connection, text);
        if (interval > Milliseconds(0)) {
            timer.expires_after(interval);
            co_await timer.async_wait(storeError(error));
        }
    }
    co_return false;
}

Task<bool>
DirectBackend::answerEndlessly(Connection &connection, const HttpRequest &request, const std::string &behaviour)
{
    const std::string filler(FillerBytes, 'x');
    if (behaviour == "endless-head") {
        const std::string start = "HTTP/1.1 200 X\r\n";
        co_await write(connection, start);
        co_return co_await writeEndlessly(connection, "X-More: " + filler + "\r\n", Milliseconds(0));
    }
    if (behaviour == "endless-foreign") {
        const std::string start = "HTTP/1.1 200 X\r\n" + std::string(RequestIdHeader) + ": other\r\n" + SealHeader
            + "Transfer-Encoding: chunked\r\n\r\n";
        co_await write(connection, start);
        co_return co_await writeEndlessly(connection, chunk(filler), Milliseconds(0));
    }
    const std::string start
        = responseHead(request, Ok, SealHeader + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
        + chunk(eventText(1)) + chunk(eventText(2));
    co_await write(connection, start);
    if (behaviour == "trickle") {
        co_return co_await writeEndlessly(connection, chunk("x"), TrickleInterval);
    }
    co_return co_await writeEndlessly(connection, chunk(filler), Milliseconds(0));
}

Task<bool> DirectBackend::answer(Connection &connection, const HttpRequest &request)
{
    const std::string target(request.target());
    const std::string behaviour = target.substr(target.rfind('/') + 1);
    constexpr std::string_view RunsPrefix = "/runs/";
    if (target.starts_with(RunsPrefix) || target == "/abandoned") {
        const auto count = target == "/abandoned" ? m_abandoned : m_runs[target.substr(RunsPrefix.size())];
        const std::string body = std::to_string(count);
        const std::string text = responseHead(request, Ok, contentLengthHeader(body)) + body;
        co_return co_await write(connection, text);
    }
    ++m_callCount;
    const std::string instance(request["Cardamomhill-Target-Instance"]);
    if (!instance.empty() && instance != m_id) {
        const std::string text = responseHead(request, Misdirected, NotExecutedHeader + "Content-Length: 0\r\n");
        co_return co_await write(connection, text);
    }
    if (!m_retryAfter.empty()) {
        const std::string text = responseHead(
            request, Unavailable, NotExecutedHeader + "Retry-After: " + m_retryAfter + "\r\nContent-Length: 0\r\n");
        co_return co_await write(connection, text);
    }
    if (m_rawAnswer) {
        countRun(request);
        co_return co_await answerRaw(connection, request);
    }
    const bool isFaulty = m_id.starts_with("bad");
    constexpr std::string_view RefusalPrefix = "refusal-";
    constexpr std::string_view ResumedPrefix = "resumed-";
    constexpr std::string_view PausedPrefix = "paused-";
    if (isFaulty && behaviour.starts_with(RefusalPrefix)) {
        countRun(request);
        const std::string when = behaviour.substr(RefusalPrefix.size());
        co_return co_await answerWithRefusal(connection, request, when);
    }
    if (behaviour == "anonymous-stream") {
        countRun(request);
        const std::string text
            = responseHead(
                  request, Ok, SealHeader + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
            + chunk("data: a\n\n") + chunk(": comment\n\n");
        co_await write(connection, text);
        co_return false;
    }
    if (isFaulty && behaviour == "own-refusal") {
        co_return co_await refuseInSegments(connection, request);
    }
    if (behaviour.starts_with(ResumedPrefix)) {
        countRun(request);
        const std::string fault = behaviour.substr(ResumedPrefix.size());
        if (request["Last-Event-Id"].empty()) {
            co_return co_await stream(connection, request, true);
        }
        co_return co_await answerResumed(connection, request, fault);
    }
    if (behaviour.starts_with(PausedPrefix)) {
        const std::string fault = behaviour.substr(PausedPrefix.size());
        co_return co_await answerPaused(connection, request, fault);
    }
    if (behaviour == "stream" || behaviour == "broken-stream") {
        countRun(request);
        co_return co_await stream(connection, request, isFaulty && behaviour == "broken-stream");
    }
    if (isFaulty && (behaviour.starts_with("endless-") || behaviour == "trickle")) {
        countRun(request);
        co_return co_await answerEndlessly(connection, request, behaviour);
    }
    if (behaviour == "trickle" || behaviour == "endless-event") {
        countRun(request);
        co_return co_await stream(connection, request, false);
    }
    if (isFaulty && behaviour == "unnamed") {
        countRun(request);
        const std::string text = "HTTP/1.1 200 X\r\n" + SealHeader + "Content-Length: 5\r\n\r\nother";
        co_return co_await write(connection, text);
    }
    if (isFaulty && behaviour == "shed") {
        const std::string text = responseHead(request, Unavailable, NotExecutedHeader + "Content-Length: 0\r\n");
        co_return co_await write(connection, text);
    }
    if (isFaulty && behaviour == "misdirected") {
        const std::string text = responseHead(request, Misdirected, "Content-Length: 0\r\n");
        co_return co_await write(connection, text);
    }
    countRun(request);
    if (isFaulty && behaviour == "error") {
        const std::string text = responseHead(request, ServerError, SealHeader + "Content-Length: 4\r\n") + "oops";
        co_return co_await write(connection, text);
    }
    if (isFaulty && behaviour == "truncated") {
        const std::string text = responseHead(request, Ok, SealHeader + "Content-Length: 100\r\n") + "only this";
        co_await write(connection, text);
        co_return false;
    }
    if (isFaulty && behaviour == "unsigned") {
        const std::string text = responseHead(request, Ok, "Content-Length: 2\r\n") + "no";
        co_return co_await write(connection, text);
    }
    if (isFaulty && behaviour == "unpromised") {
        const std::string text = responseHead(request, Unavailable, "Content-Length: 0\r\n");
        co_return co_await write(connection, text);
    }
    if (isFaulty && behaviour == "silent") {
        char byte = 0;
        SystemError error;
        co_await connection.socket.async_read_some(asio::buffer(&byte, 1), storeError(error));
        ++m_abandoned;
        co_return false;
    }
    if (behaviour == "slow") {
        asio::steady_timer timer(m_context, Milliseconds(numberIn(request, "X-Delay-Ms", SlowAnswerDelay.count())));
        SystemError error;
        co_await timer.async_wait(storeError(error));
    }
    if (behaviour == "endless") {
        const std::string text = responseHead(request, Ok, SealHeader) + "until the end";
        co_await write(connection, text);
        co_return false;
    }
    co_return co_await answerCorrectly(connection, request, isFaulty && behaviour == "extra");
}

} // namespace Cardamomhill
