#include "net/httpserver.h"
#include "net/httpexchange.h"
#include "net/httplimits.h"

#include <doctest/doctest.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <string>
#include <thread>

using namespace Cardamomhill;

namespace
{

constexpr std::size_t BodyLimit = 1000;
constexpr std::size_t BodyBytes = 1024 * 1024;
constexpr std::size_t PieceBytes = 16 * 1024;

struct Outcome {
    /// A caller that cannot send its request may give up without reading the answer.
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
            co_await exchange.sendWhole(200, "", body);
        })
    {
        const tcp::acceptor probe(m_context, {asio::ip::address_v4::loopback(), 0});
        m_endpoint = probe.local_endpoint();
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
        limits.bodyBytes = BodyLimit;
        return limits;
    }

    asio::io_context m_context;
    tcp::endpoint m_endpoint;
    HttpServer m_server;
    std::thread m_thread;
};

/// Sends a request with a body of that size, and reads only when all is sent or cannot be sent.
Outcome send(const tcp::endpoint &endpoint, std::size_t bodyBytes)
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
    Outcome outcome;
    outcome.wasSent = !error;
    outcome.statusLine.resize(std::string_view("HTTP/1.1 413").size());
    SystemError readError;
    outcome.statusLine.resize(asio::read(socket, asio::buffer(outcome.statusLine), readError));
    return outcome;
}

} // namespace

TEST_CASE("a caller can go on sending a body over the limit until it reads the answer")
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
