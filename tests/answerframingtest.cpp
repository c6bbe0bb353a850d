// Guards against bytes on a caller's connection that belong to no answer.

#include "net/httpexchange.h"
#include "net/httplimits.h"
#include "net/httpserver.h"
#include "support/freeendpoint.h"
#include "support/receivedbytes.h"

#include <doctest/doctest.h>

#include <boost/asio/write.hpp>

#include <string>

using namespace Cardamomhill;

namespace
{

const std::string Body = "event";

/// A server that answers with the status in the target, in one piece below /whole/ and in pieces below /pieces/.
struct AnsweringServer {
    AnsweringServer()
        : server(context, HttpLimits(), [](HttpExchange &exchange) { return answer(exchange); })
        , endpoint(freeEndpoint(context))
    {
        REQUIRE(server.listen(endpoint, false).has_value());
    }

    static Task<> answer(HttpExchange &exchange)
    {
        const std::string target(exchange.request().target());
        const auto status = static_cast<unsigned>(std::stoul(target.substr(target.rfind('/') + 1)));
        if (target.starts_with("/whole/")) {
            std::string body = Body;
            co_await exchange.sendAnswer(status, "text/plain", std::move(body));
            co_return;
        }
        co_await exchange.beginChunkedAnswer(status, "text/event-stream");
        co_await exchange.sendChunk(Body);
        co_await exchange.endChunkedAnswer();
    }

    /// What the sender of these requests receives; see receivedBytes().
    std::string answersTo(const std::string &requests)
    {
        tcp::socket socket(context);
        socket.connect(endpoint);
        asio::write(socket, asio::buffer(requests));
        context.restart();
        context.run_for(Milliseconds(100));
        return receivedBytes(socket);
    }

    asio::io_context context;
    HttpServer server;
    tcp::endpoint endpoint;
};

std::string request(const std::string &method, const std::string &target, const std::string &version = "1.1")
{
    return method + " " + target + " HTTP/" + version + "\r\nHost: a\r\n\r\n";
}

/// The bytes between the head of the first answer and the next answer, and nothing if there is no head.
std::string bodyOfFirst(const std::string &answers)
{
    const auto end = answers.find("\r\n\r\n");
    if (end == std::string::npos) {
        return "no head";
    }
    const auto body = answers.substr(end + 4);
    return body.substr(0, body.find("HTTP/1.1 "));
}

} // namespace

TEST_CASE(
    "no byte follows the head of an answer that has no body, and the next answer on the connection is in its place")
{
    for (const std::string form : {"/whole/", "/pieces/"}) {
        for (const std::string status : {"204", "205", "304"}) {
            CAPTURE(form);
            CAPTURE(status);
            AnsweringServer server;
            const auto answers = server.answersTo(request("GET", form + status) + request("GET", "/whole/200"));
            CHECK(answers.starts_with("HTTP/1.1 " + status));
            CHECK(bodyOfFirst(answers).empty());
            CHECK(answers.find("Transfer-Encoding") == std::string::npos);
            CHECK(answers.ends_with("\r\n\r\n" + Body));
        }
    }
}

TEST_CASE("the answer to HEAD has no body, and the next answer on the connection is in its place")
{
    for (const std::string target : {"/whole/200", "/whole/503", "/pieces/200"}) {
        CAPTURE(target);
        AnsweringServer server;
        const auto answers = server.answersTo(request("HEAD", target) + request("GET", "/whole/200"));
        CHECK(answers.starts_with("HTTP/1.1 " + target.substr(target.rfind('/') + 1)));
        CHECK(bodyOfFirst(answers).empty());
        CHECK(answers.ends_with("\r\n\r\n" + Body));
    }
}

TEST_CASE("an answer with a status that no standard knows keeps its body and the place of the next answer")
{
    AnsweringServer server;
    const auto answers = server.answersTo(request("GET", "/whole/599") + request("GET", "/whole/200"));
    CHECK(answers.starts_with("HTTP/1.1 599"));
    CHECK(bodyOfFirst(answers) == Body);
    CHECK(answers.ends_with("\r\n\r\n" + Body));
}

TEST_CASE("a caller with HTTP/1.0 gets an answer in pieces without chunks, which ends with its connection")
{
    AnsweringServer server;
    const auto answer = server.answersTo("GET /pieces/200 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
    CHECK(answer.starts_with("HTTP/1.0 200"));
    CHECK(answer.find("chunked") == std::string::npos);
    CHECK(bodyOfFirst(answer) == Body + "closed");
}
