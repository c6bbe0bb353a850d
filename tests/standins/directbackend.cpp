#include "standins/directbackend.h"

#include "core/clocktypes.h"
#include "net/listen.h"
#include "net/spawn.h"

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
constexpr unsigned Misdirected = 421;
constexpr unsigned ServerError = 500;
constexpr unsigned Unavailable = 503;
constexpr int Events = 10;
constexpr int EventsBeforeBreak = 4;
constexpr Milliseconds EventTime{20};
constexpr Milliseconds SlowTime{400};
constexpr Milliseconds TricklePause{200};
constexpr std::size_t PieceBytes = 1000;
constexpr const char *CallId = "Cardamomhill-Request-Id";
const std::string Seal = "Cardamomhill-Response-Seal: seal\r\n";
const std::string NotRun = "Cardamomhill-Not-Executed: 1\r\n";

std::string lengthOf(const std::string &body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n";
}

std::string chunk(const std::string &text)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

std::string eventOf(int number)
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
};

DirectBackend::DirectBackend(asio::io_context &context, std::string id, RunObserver onRun)
    : m_context(context)
    , m_id(std::move(id))
    , m_onRun(std::move(onRun))
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
    ++m_runs[std::string(request[CallId])];
    if (m_onRun) {
        m_onRun(request);
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
    }
}

Task<bool> DirectBackend::write(Connection &connection, std::string text)
{
    SystemError error;
    co_await asio::async_write(connection.socket, asio::buffer(text), storeError(error));
    m_abandoned += error ? 1 : 0;
    co_return !error;
}

std::string DirectBackend::head(const HttpRequest &request, unsigned status, const std::string &headers) const
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + CallId + ": " + std::string(request[CallId]) + "\r\n"
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

Task<bool> DirectBackend::answerWell(Connection &connection, const HttpRequest &request, bool twice)
{
    const std::string body = description(request);
    const std::string text = head(request, Ok, Seal + lengthOf(body)) + body;
    const std::string all = twice ? text + text : text;
    const bool sent = co_await write(connection, all);
    co_return sent;
}

Task<bool> DirectBackend::stream(Connection &connection, const HttpRequest &request, bool breaks)
{
    const std::string last(request["Last-Event-Id"]);
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    const std::string start
        = head(request, Ok, Seal + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
    bool sent = co_await write(connection, start);
    asio::steady_timer timer(m_context);
    for (int number = first; sent && number <= Events; ++number) {
        if (breaks && number > EventsBeforeBreak) {
            const std::string part = chunk(eventOf(number).substr(0, 5));
            co_await write(connection, part);
            co_return false;
        }
        timer.expires_after(EventTime);
        SystemError error;
        co_await timer.async_wait(storeError(error));
        const std::string event = chunk(eventOf(number));
        sent = co_await write(connection, event);
    }
    if (sent) {
        const std::string end = "0\r\n\r\n";
        sent = co_await write(connection, end);
    }
    co_return sent;
}

Task<bool> DirectBackend::writeWithoutEnd(Connection &connection, const std::string &text, Milliseconds pause)
{
    asio::steady_timer timer(m_context);
    SystemError error;
    bool sent = true;
    while (sent && !error) {
        sent = co_await write(connection, text);
        if (pause > Milliseconds(0)) {
            timer.expires_after(pause);
            co_await timer.async_wait(storeError(error));
        }
    }
    co_return false;
}

Task<bool>
DirectBackend::answerWithoutEnd(Connection &connection, const HttpRequest &request, const std::string &manner)
{
    const std::string piece(PieceBytes, 'x');
    if (manner == "endless-head") {
        const std::string start = "HTTP/1.1 200 X\r\n";
        co_await write(connection, start);
        co_return co_await writeWithoutEnd(connection, "X-More: " + piece + "\r\n", Milliseconds(0));
    }
    if (manner == "endless-foreign") {
        const std::string start
            = "HTTP/1.1 200 X\r\n" + std::string(CallId) + ": other\r\n" + Seal + "Transfer-Encoding: chunked\r\n\r\n";
        co_await write(connection, start);
        co_return co_await writeWithoutEnd(connection, chunk(piece), Milliseconds(0));
    }
    const std::string start
        = head(request, Ok, Seal + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
        + chunk(eventOf(1)) + chunk(eventOf(2));
    co_await write(connection, start);
    if (manner == "trickle") {
        co_return co_await writeWithoutEnd(connection, chunk("x"), TricklePause);
    }
    co_return co_await writeWithoutEnd(connection, chunk(piece), Milliseconds(0));
}

Task<bool> DirectBackend::answer(Connection &connection, const HttpRequest &request)
{
    const std::string target(request.target());
    const std::string manner = target.substr(target.rfind('/') + 1);
    constexpr std::string_view Runs = "/runs/";
    if (target.starts_with(Runs) || target == "/abandoned") {
        const auto count = target == "/abandoned" ? m_abandoned : m_runs[target.substr(Runs.size())];
        const std::string body = std::to_string(count);
        const std::string text = head(request, Ok, lengthOf(body)) + body;
        co_return co_await write(connection, text);
    }
    const std::string instance(request["Cardamomhill-Target-Instance"]);
    if (!instance.empty() && instance != m_id) {
        const std::string text = head(request, Misdirected, NotRun + "Content-Length: 0\r\n");
        co_return co_await write(connection, text);
    }
    const bool isBad = m_id.starts_with("bad");
    if (manner == "stream" || manner == "broken-stream") {
        countRun(request);
        co_return co_await stream(connection, request, isBad && manner == "broken-stream");
    }
    if (isBad && (manner.starts_with("endless-") || manner == "trickle")) {
        countRun(request);
        co_return co_await answerWithoutEnd(connection, request, manner);
    }
    if (manner == "trickle" || manner == "endless-event") {
        countRun(request);
        co_return co_await stream(connection, request, false);
    }
    if (isBad && manner == "unnamed") {
        countRun(request);
        const std::string text = "HTTP/1.1 200 X\r\n" + Seal + "Content-Length: 5\r\n\r\nother";
        co_return co_await write(connection, text);
    }
    if (isBad && manner == "shed") {
        const std::string text = head(request, Unavailable, NotRun + "Content-Length: 0\r\n");
        co_return co_await write(connection, text);
    }
    if (isBad && manner == "misdirected") {
        const std::string text = head(request, Misdirected, "Content-Length: 0\r\n");
        co_return co_await write(connection, text);
    }
    countRun(request);
    if (isBad && manner == "error") {
        const std::string text = head(request, ServerError, Seal + "Content-Length: 4\r\n") + "oops";
        co_return co_await write(connection, text);
    }
    if (isBad && manner == "truncated") {
        const std::string text = head(request, Ok, Seal + "Content-Length: 100\r\n") + "only this";
        co_await write(connection, text);
        co_return false;
    }
    if (isBad && manner == "unsigned") {
        const std::string text = head(request, Ok, "Content-Length: 2\r\n") + "no";
        co_return co_await write(connection, text);
    }
    if (isBad && manner == "unpromised") {
        const std::string text = head(request, Unavailable, "Content-Length: 0\r\n");
        co_return co_await write(connection, text);
    }
    if (isBad && manner == "silent") {
        char byte = 0;
        SystemError error;
        co_await connection.socket.async_read_some(asio::buffer(&byte, 1), storeError(error));
        ++m_abandoned;
        co_return false;
    }
    if (manner == "slow") {
        asio::steady_timer timer(m_context, SlowTime);
        SystemError error;
        co_await timer.async_wait(storeError(error));
    }
    if (manner == "endless") {
        const std::string text = head(request, Ok, Seal) + "until the end";
        co_await write(connection, text);
        co_return false;
    }
    co_return co_await answerWell(connection, request, isBad && manner == "extra");
}

} // namespace Cardamomhill
