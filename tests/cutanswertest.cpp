#include "support/loopbackgateway.h"

using namespace Cardamomhill;

namespace
{

constexpr unsigned Ok = 200;
const std::string Body = "the whole body";
const std::string Event = "id: 1\ndata: one\n\n";
const std::string LaterEvent = "id: 2\ndata: two\n\n";

std::string head(const HttpRequest &request, const std::string &headers)
{
    return "HTTP/1.1 200 OK\r\nCardamomhill-Request-Id: " + std::string(request["Cardamomhill-Request-Id"])
        + "\r\nCardamomhill-Response-Seal: seal\r\n" + headers + "\r\n";
}

std::string streamHead(const HttpRequest &request)
{
    return head(request, "Content-Type: text/event-stream\r\n");
}

/// A gateway before one server that answers each call with the same bytes after a head of its own.
class RawServer
{
public:
    RawServer()
        : m_gateway({"good-1"})
    {
    }

    /// Sends one call and returns what the caller got.
    CallResult call(const std::string &path, std::function<DirectBackend::RawAnswer(const HttpRequest &)> answer)
    {
        m_gateway.server("good-1").setRawAnswer(std::move(answer));
        CallResult result;
        m_gateway.run(send(path, "c" + std::to_string(++m_calls), result));
        return result;
    }

    int runsOfLastCall()
    {
        return m_gateway.runsOf("c" + std::to_string(m_calls));
    }

private:
    Task<> send(std::string path, std::string id, CallResult &result)
    {
        auto request = LoopbackGateway::makeCall(path, id);
        result = co_await m_gateway.call(std::move(request));
    }

    LoopbackGateway m_gateway;
    int m_calls = 0;
};

} // namespace

TEST_CASE("a server that stops in the head of its answer gives no caller a success, and runs no call twice")
{
    RawServer server;
    for (const auto *path : {"/pay/ok", "/talk/stream"}) {
        CAPTURE(path);
        std::size_t length = 1;
        for (std::size_t cut = 0; cut < length; cut += 3) {
            CAPTURE(cut);
            const auto result = server.call(path, [&](const HttpRequest &request) {
                const auto text = head(request, "Content-Length: 14\r\n");
                length = text.size();
                return DirectBackend::RawAnswer{text.substr(0, cut)};
            });
            CHECK(result.status != Ok);
            CHECK(result.status / 100 == 5);
            CHECK(server.runsOfLastCall() == 1);
        }
    }
}

TEST_CASE("an answer that ends with its connection is whole unless the connection was reset")
{
    RawServer server;
    const auto whole = server.call(
        "/pay/ok", [](const HttpRequest &request) { return DirectBackend::RawAnswer{head(request, "") + Body}; });
    CHECK(whole.status == Ok);
    CHECK(whole.isComplete);
    CHECK(whole.body == Body);
    const auto reset = server.call("/pay/ok", [](const HttpRequest &request) {
        return DirectBackend::RawAnswer{head(request, "") + Body, DirectBackend::ConnectionEnd::Reset};
    });
    CHECK_FALSE(reset.status == Ok);
    CHECK(server.runsOfLastCall() == 1);
}

TEST_CASE("a long answer that ends with its connection is not complete if the connection was reset")
{
    RawServer server;
    const std::string longBody(600'000, 'x');
    for (const auto end : {DirectBackend::ConnectionEnd::Closed, DirectBackend::ConnectionEnd::Reset}) {
        const auto result = server.call("/pay/ok", [&](const HttpRequest &request) {
            return DirectBackend::RawAnswer{head(request, "") + longBody, end};
        });
        CHECK(result.isComplete == (end == DirectBackend::ConnectionEnd::Closed));
    }
}

TEST_CASE("a stream that ends with its connection is complete after a whole event, and not inside one or after a reset")
{
    RawServer server;
    const auto whole = server.call("/talk/stream", [](const HttpRequest &request) {
        return DirectBackend::RawAnswer{streamHead(request) + Event + LaterEvent};
    });
    CHECK(whole.status == Ok);
    CHECK(whole.isComplete);
    CHECK(whole.body == Event + LaterEvent);
    for (std::size_t length = 1; length < LaterEvent.size(); ++length) {
        CAPTURE(length);
        const auto cut = server.call("/talk/stream", [&](const HttpRequest &request) {
            return DirectBackend::RawAnswer{streamHead(request) + Event + LaterEvent.substr(0, length)};
        });
        CHECK_FALSE(cut.isComplete);
    }
    const auto reset = server.call("/talk/stream", [](const HttpRequest &request) {
        return DirectBackend::RawAnswer{streamHead(request) + Event, DirectBackend::ConnectionEnd::Reset};
    });
    CHECK_FALSE(reset.isComplete);
}

TEST_CASE("a stream whose connection ends before its first event is not complete")
{
    RawServer server;
    const auto result = server.call(
        "/talk/stream", [](const HttpRequest &request) { return DirectBackend::RawAnswer{streamHead(request)}; });
    CHECK_FALSE(result.status == Ok);
    CHECK(server.runsOfLastCall() == 1);
}
