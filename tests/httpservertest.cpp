#include "net/httpserver.h"
#include "net/httpexchange.h"
#include "net/httplimits.h"
#include "support/freeendpoint.h"
#include "support/receivedbytes.h"

#include <doctest/doctest.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <string>
#include <thread>
#include <vector>

using namespace Cardamomhill;

namespace
{

constexpr std::size_t BodyLimit = 1000;
constexpr std::size_t BodyBytes = 1024 * 1024;
constexpr std::size_t PieceBytes = 16 * 1024;

struct SendResult {
    /// The whole request could be sent. A caller that cannot send it may fail without reading the answer.
    bool wasSent = false;
    std::string statusLine;
};

/// A server on a thread of its own, since the client of this test blocks.
class Server
{
public:
    Server()
        : m_server(m_context, limits(), [](HttpExchange &exchange) -> Task<> {
            const std::string body = "ok";
            co_await exchange.sendAnswer(200, "", body);
        })
    {
        m_endpoint = freeEndpoint(m_context);
    }

    void start()
    {
        REQUIRE(m_server.listen(m_endpoint, false).has_value());
        m_thread = std::thread([this] { m_context.run_for(std::chrono::seconds(10)); });
    }

    ~Server()
    {
        m_context.stop();
        m_thread.join();
    }

    const tcp::endpoint &endpoint() const
    {
        return m_endpoint;
    }

private:
    static HttpLimits limits()
    {
        HttpLimits limits;
        limits.maxBodyBytes = BodyLimit;
        return limits;
    }

    asio::io_context m_context;
    tcp::endpoint m_endpoint;
    HttpServer m_server;
    std::thread m_thread;
};

/// Sends a request with a body of the given size. Reads the answer only after all was sent or sending failed.
SendResult send(const tcp::endpoint &endpoint, std::size_t bodyBytes)
{
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect(endpoint);
    const std::string head = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
    SystemError error;
    asio::write(socket, asio::buffer(head), error);
    const std::string piece(PieceBytes, 'x');
    for (std::size_t sent = 0; sent < bodyBytes && !error; sent += PieceBytes) {
        asio::write(socket, asio::buffer(piece.data(), std::min(PieceBytes, bodyBytes - sent)), error);
    }
    SendResult outcome;
    outcome.wasSent = !error;
    outcome.statusLine.resize(std::string_view("HTTP/1.1 413").size());
    SystemError readError;
    outcome.statusLine.resize(asio::read(socket, asio::buffer(outcome.statusLine), readError));
    return outcome;
}

} // namespace

TEST_CASE("a caller can send the whole of a body over the limit and then read the answer 413")
{
    Server server;
    server.start();
    constexpr int Calls = 20;
    for (int call = 0; call < Calls; ++call) {
        const auto outcome = send(server.endpoint(), BodyBytes);
        CHECK(outcome.wasSent);
        CHECK(outcome.statusLine == "HTTP/1.1 413");
    }
    const auto whole = send(server.endpoint(), BodyLimit);
    CHECK(whole.wasSent);
    CHECK(whole.statusLine == "HTTP/1.1 200");
}

namespace
{

/// A server and its callers on one thread, so that the time of the stop is exact.
struct StoppedServer {
    explicit StoppedServer(const std::string &answer = "ok")
        : server(context,
                 HttpLimits(),
                 [answer](HttpExchange &exchange) -> Task<> {
                     std::string body = answer;
                     co_await exchange.sendAnswer(200, "", std::move(body));
                 })
        , endpoint(freeEndpoint(context))
    {
        REQUIRE(server.listen(endpoint, false).has_value());
    }

    tcp::socket connect()
    {
        tcp::socket socket(context);
        socket.connect(endpoint);
        return socket;
    }

    void run(int milliseconds)
    {
        context.restart();
        context.run_for(Milliseconds(milliseconds));
    }

    asio::io_context context;
    HttpServer server;
    tcp::endpoint endpoint;
};

void sendRequest(tcp::socket &socket)
{
    asio::write(socket, asio::buffer(std::string("GET /x HTTP/1.1\r\nHost: a\r\n\r\n")));
}

bool isAnswered(const std::string &text)
{
    return text.starts_with("HTTP/1.1 200") && text.ends_with("closed");
}

} // namespace

// Guards against an exception in the handler of a read, which nothing catches.
TEST_CASE("a trailer field that is longer than a parser can keep refuses its request and doesn't end the process")
{
    constexpr std::size_t FieldBytes = 70'000;
    const std::string head = "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    StoppedServer server;
    auto caller = server.connect();
    asio::write(caller, asio::buffer(head + "2\r\nok\r\n0\r\nX-Long: " + std::string(FieldBytes, 'x') + "\r\n\r\n"));
    server.run(100);
    CHECK(receivedBytes(caller).starts_with("HTTP/1.1 431"));
    auto next = server.connect();
    asio::write(next, asio::buffer(head + "2\r\nok\r\n0\r\nX-Short: x\r\n\r\n"));
    server.run(100);
    CHECK(receivedBytes(next).starts_with("HTTP/1.1 200"));
}

// Guards against an exception on a head whose limit is above what the parser can keep in one field.
TEST_CASE("a field of a head that is longer than a parser can keep refuses its request and doesn't end the process")
{
    constexpr std::size_t FieldBytes = 70'000;
    StoppedServer server;
    HttpLimits limits;
    limits.maxHeaderBytes = 2 * FieldBytes;
    server.server.setLimits(limits);
    auto caller = server.connect();
    asio::write(caller, asio::buffer("GET /x HTTP/1.1\r\nX-Long: " + std::string(FieldBytes, 'x') + "\r\n\r\n"));
    server.run(100);
    CHECK(receivedBytes(caller).starts_with("HTTP/1.1 431"));
}

// Guards against an assertion of the parser for bodies, which ended the process.
TEST_CASE("a request whose body in chunks arrives byte by byte is answered")
{
    const std::string head = "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string body : {"0\r\n\r\n", "2\r\nok\r\n0\r\n\r\n"}) {
        CAPTURE(body);
        StoppedServer server;
        auto caller = server.connect();
        caller.set_option(tcp::no_delay(true));
        asio::write(caller, asio::buffer(head));
        for (const char byte : body) {
            server.run(2);
            asio::write(caller, asio::buffer(&byte, 1));
        }
        server.run(20);
        CHECK(receivedBytes(caller).starts_with("HTTP/1.1 200"));
    }
}

// Guards against a process that keeps all bytes of a line that never ends.
TEST_CASE("a request with the line of a chunk that never ends is refused before its bytes are read")
{
    constexpr std::size_t PieceCount = 16;
    StoppedServer server;
    auto caller = server.connect();
    caller.non_blocking(true);
    asio::write(caller, asio::buffer(std::string("POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;")));
    const std::string piece(PieceBytes, 'x');
    for (std::size_t sent = 0; sent < PieceCount; ++sent) {
        SystemError ignored;
        caller.write_some(asio::buffer(piece), ignored);
        server.run(2);
    }
    CHECK(receivedBytes(caller).starts_with("HTTP/1.1 400"));
}

TEST_CASE("connections that are in the backlog when the server stops are served")
{
    StoppedServer stopped;
    stopped.run(20);
    std::vector<tcp::socket> callers;
    for (int caller = 0; caller < 20; ++caller) {
        callers.push_back(stopped.connect());
        sendRequest(callers.back());
    }
    stopped.server.stopAccepting();
    stopped.run(200);
    for (auto &caller : callers) {
        CHECK(isAnswered(receivedBytes(caller)));
    }
}

TEST_CASE("a request on a kept-alive connection at the time of the stop, or soon after it, is answered")
{
    for (const int delay : {0, 100}) {
        StoppedServer stopped;
        auto caller = stopped.connect();
        auto idle = stopped.connect();
        sendRequest(caller);
        stopped.run(50);
        REQUIRE(receivedBytes(caller).starts_with("HTTP/1.1 200"));
        if (delay == 0) {
            sendRequest(caller);
        }
        stopped.server.stopAccepting();
        stopped.run(delay);
        if (delay != 0) {
            sendRequest(caller);
        }
        stopped.run(100);
        CHECK(isAnswered(receivedBytes(caller)));
        stopped.run(400);
        CHECK(receivedBytes(idle) == "closed");
        CHECK(stopped.server.connectionCount() == 0);
    }
}

TEST_CASE("pipelined requests are all answered although the server stops in between")
{
    StoppedServer stopped;
    auto caller = stopped.connect();
    stopped.run(20);
    sendRequest(caller);
    sendRequest(caller);
    // These answers, sent before the stop, promise to keep the connection open.
    stopped.run(20);
    const auto before = receivedBytes(caller);
    sendRequest(caller);
    stopped.server.stopAccepting();
    stopped.run(500);
    const auto after = receivedBytes(caller);
    CHECK(before.starts_with("HTTP/1.1 200"));
    CHECK(isAnswered(after));
}

TEST_CASE("an accepted connection whose first request comes only after the stop is served")
{
    StoppedServer stopped;
    stopped.run(20);
    auto caller = stopped.connect();
    stopped.server.stopAccepting();
    stopped.run(100);
    sendRequest(caller);
    stopped.run(100);
    CHECK(isAnswered(receivedBytes(caller)));
}

TEST_CASE("a caller that sends more while a last, large answer is on its way and reads slowly gets the whole answer")
{
    constexpr std::size_t AnswerBytes = 2 * BodyBytes;
    StoppedServer stopped(std::string(AnswerBytes, 'x'));
    stopped.server.setCloseAfterAnswers(true);
    auto caller = stopped.connect();
    sendRequest(caller);
    stopped.run(20);
    // The server has read the first request; this one stays unread.
    sendRequest(caller);
    caller.non_blocking(true);
    std::string all;
    SystemError error;
    std::vector<char> piece(PieceBytes);
    while (!error) {
        stopped.run(1);
        const auto size = caller.read_some(asio::buffer(piece), error);
        all.append(piece.data(), size);
        if (error == asio::error::would_block) {
            error = {};
        }
    }
    CHECK(error == asio::error::eof);
    CHECK(all.starts_with("HTTP/1.1 200"));
    CHECK(all.size() > AnswerBytes);
}

namespace
{

/// A server whose requests for /no are refused by their heads.
struct CheckedServer {
    CheckedServer()
        : server(context, limits(), [this](HttpExchange &exchange) { return answer(exchange); })
        , endpoint(freeEndpoint(context))
    {
        server.setHeadCheck([](const auto &head) { return head.target() == "/no"; });
        REQUIRE(server.listen(endpoint, false).has_value());
    }

    static HttpLimits limits()
    {
        HttpLimits limits;
        limits.maxTotalBodyBytes = 2 * BodyBytes;
        return limits;
    }

    Task<> answer(HttpExchange &exchange)
    {
        const unsigned status = exchange.request().target() == "/no" ? 404 : 200;
        skippedBodies += exchange.isBodySkipped() ? 1 : 0;
        std::string body = std::to_string(exchange.request().body().size());
        co_await exchange.sendAnswer(status, "", std::move(body));
    }

    tcp::socket connect()
    {
        tcp::socket socket(context);
        socket.connect(endpoint);
        socket.non_blocking(true);
        return socket;
    }

    /// Sends as much as the server takes.
    void send(tcp::socket &socket, const std::string &bytes)
    {
        SystemError error;
        for (std::size_t sent = 0; sent < bytes.size() && (!error || error == asio::error::would_block);) {
            sent += socket.write_some(asio::buffer(bytes.data() + sent, bytes.size() - sent), error);
            run(1);
        }
    }

    void run(int milliseconds)
    {
        context.restart();
        context.run_for(Milliseconds(milliseconds));
    }

    asio::io_context context;
    HttpServer server;
    tcp::endpoint endpoint;
    int skippedBodies = 0;
};

std::string lengthHead(const std::string &target, std::size_t bytes)
{
    return "POST " + target + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

} // namespace

// Guards against a second answer, and against a request that is smuggled in the body of a refused one.
TEST_CASE("a request refused by its head gets one answer, and nothing of its body is taken for another request")
{
    constexpr int DiscardTime = 1200;
    const std::string smuggled = "GET /yes HTTP/1.1\r\nHost: a\r\n\r\n";
    for (const bool isChunked : {false, true}) {
        CAPTURE(isChunked);
        CheckedServer server;
        auto caller = server.connect();
        server.send(caller,
                    isChunked ? "POST /no HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                              : lengthHead("/no", BodyBytes));
        server.run(20);
        server.send(caller, smuggled);
        server.send(caller, std::string(BodyBytes - smuggled.size(), 'x'));
        server.send(caller, smuggled);
        server.run(DiscardTime);
        const auto received = receivedBytes(caller);
        CHECK(received.starts_with("HTTP/1.1 404"));
        CHECK(received.find("Connection: close") != std::string::npos);
        CHECK(received.find("HTTP/1.1", 1) == std::string::npos);
        CHECK(received.ends_with("closed"));
        CHECK(server.skippedBodies == 1);
        CHECK(server.server.bodyBytes() == 0);
        CHECK(server.server.connectionCount() == 0);
    }
}

TEST_CASE("the connection of a request with a small body stays open although its head refuses it")
{
    CheckedServer server;
    auto caller = server.connect();
    server.send(caller, lengthHead("/no", 2));
    server.run(20);
    server.send(caller, "ok");
    server.run(20);
    CHECK(receivedBytes(caller).starts_with("HTTP/1.1 404"));
    server.send(caller, lengthHead("/yes", 2) + "ok");
    server.run(20);
    CHECK(receivedBytes(caller).starts_with("HTTP/1.1 200"));
    CHECK(server.skippedBodies == 0);
}

// Guards against memory for unfinished bodies without a bound.
TEST_CASE("a silent body gives way to another one, and both callers get one answer")
{
    constexpr int MoreThanIdleTime = 600;
    CheckedServer server;
    auto silent = server.connect();
    server.send(silent, lengthHead("/yes", BodyBytes) + std::string(BodyBytes - 1, 'x'));
    auto early = server.connect();
    server.send(early, lengthHead("/yes", BodyBytes) + std::string(BodyBytes / 2, 'x'));
    server.run(20);
    const auto refused = receivedBytes(early);
    CHECK(refused.starts_with("HTTP/1.1 503"));
    CHECK(refused.find("Retry-After: 1") != std::string::npos);
    CHECK(refused.find("not-sent") != std::string::npos);
    server.run(MoreThanIdleTime);
    auto later = server.connect();
    server.send(later, lengthHead("/yes", BodyBytes) + std::string(BodyBytes, 'x'));
    server.run(20);
    CHECK(receivedBytes(later).starts_with("HTTP/1.1 200"));
    const auto dropped = receivedBytes(silent);
    CHECK(dropped.starts_with("HTTP/1.1 503"));
    CHECK(dropped.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(server.server.counts().droppedBodies == 1);
    CHECK(server.server.counts().refusedBodies == 1);
    CHECK(server.server.bodyBytes() == 0);
}

// Guards against callers that hold all connections without sending requests.
TEST_CASE("a new connection takes the place of the one that has waited longest")
{
    constexpr int MoreThanMinWait = 600;
    CheckedServer server;
    auto limits = CheckedServer::limits();
    limits.maxConnections = 2;
    server.server.setLimits(limits);
    auto first = server.connect();
    server.run(20);
    auto second = server.connect();
    server.run(20);
    auto early = server.connect();
    server.run(20);
    CHECK(receivedBytes(early) == "closed");
    server.run(MoreThanMinWait);
    auto third = server.connect();
    server.send(third, lengthHead("/yes", 2) + "ok");
    server.run(20);
    CHECK(receivedBytes(third).starts_with("HTTP/1.1 200"));
    CHECK(receivedBytes(first) == "closed");
    CHECK(receivedBytes(second).empty());
    CHECK(server.server.counts().displacedConnections == 1);
    CHECK(server.server.counts().refusedConnections == 1);
}
