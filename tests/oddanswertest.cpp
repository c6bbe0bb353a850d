// Guards against answers that are none in HTTP and are passed on, in whole or in part.

#include "support/loopbackgateway.h"

#include <array>

using namespace Cardamomhill;

namespace
{

using ConnectionEnd = DirectBackend::ConnectionEnd;

constexpr unsigned FirstServerError = 500;
constexpr unsigned LastStatus = 599;
/// Part of each body that only an answer of the faulty server has.
const std::string Marker = "spoiled";
const std::array<std::string, 4> Routes{"safe", "pay", "draft", "talk"};

bool isStream(const std::string &route)
{
    return route == "draft" || route == "talk";
}

std::string bodyFor(const std::string &route)
{
    return isStream(route) ? "id: 1\ndata: " + Marker + "\n\n" : Marker;
}

/// Fields that let a gateway accept an answer to this call, without those that frame its body.
std::string acceptableFields(const HttpRequest &request, const std::string &route)
{
    return "Cardamomhill-Request-Id: " + std::string(request["Cardamomhill-Request-Id"])
        + "\r\nCardamomhill-Response-Seal: seal\r\nContent-Type: "
        + (isStream(route) ? "text/event-stream" : "text/plain") + "\r\n";
}

/// An answer whose body has a length.
std::string answerText(const std::string &status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + status + " X\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

/// An answer whose body is one chunk, without the field that says so.
std::string chunkedAnswerText(const std::string &fields, const std::string &body)
{
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx", body.size());
    return "HTTP/1.1 200 X\r\n" + fields + "\r\n" + size.data() + "\r\n" + body + "\r\n0\r\n\r\n";
}

/// An answer to this call that is correct but for its status.
std::string answerWithStatus(const std::string &status, const HttpRequest &request, const std::string &route)
{
    return answerText(status, acceptableFields(request, route), bodyFor(route));
}

/// A gateway with one server, whose calls all get the same odd answer.
class OddAnswers
{
public:
    explicit OddAnswers(const std::string &route)
        : m_route(route)
        , m_gateway({"bad-1"})
    {
    }

    /// Checks that no call gets the server's answer, and that none waits for another one.
    void checkNotPassedOn(const std::function<std::string(const HttpRequest &)> &answer,
                          ConnectionEnd end = ConnectionEnd::Closed)
    {
        m_gateway.server("bad-1").setRawAnswer([answer, end](const HttpRequest &request) {
            return DirectBackend::RawAnswer{answer(request), end};
        });
        m_gateway.run(sendCalls());
    }

private:
    Task<> sendCalls()
    {
        constexpr int Calls = 2;
        // Half of the timeout of the routes.
        constexpr Milliseconds LongestWait{1000};
        for (int i = 0; i < Calls; ++i) {
            const auto id = "call" + std::to_string(++m_callCount);
            const auto path = std::string("/").append(m_route).append("/ok");
            auto request = LoopbackGateway::makeCall(path, id);
            const auto result = co_await m_gateway.call(std::move(request));
            CHECK(m_gateway.runsOf(id) > 0);
            CHECK(result.status >= FirstServerError);
            CHECK(result.status <= LastStatus);
            CHECK(result.body.find(Marker) == std::string::npos);
            CHECK(result.duration < LongestWait);
        }
    }

    std::string m_route;
    LoopbackGateway m_gateway;
    int m_callCount = 0;
};

} // namespace

TEST_CASE("an answer whose status is none in HTTP is not passed on")
{
    for (const auto &route : Routes) {
        OddAnswers answers(route);
        for (const std::string status : {"000",
                                         "0",
                                         "00",
                                         "001",
                                         "099",
                                         "0200",
                                         "+200",
                                         "-20",
                                         "20",
                                         "2000",
                                         "1e2",
                                         "2x0",
                                         "\t200",
                                         "600",
                                         "999"}) {
            CAPTURE(route);
            CAPTURE(status);
            answers.checkNotPassedOn(
                [&](const HttpRequest &request) { return answerWithStatus(status, request, route); });
        }
    }
}

TEST_CASE("the body of an answer whose status is below 100 is not read as the answer that follows an interim one")
{
    for (const auto &route : Routes) {
        OddAnswers answers(route);
        for (const std::string status : {"000", "001", "099"}) {
            CAPTURE(route);
            CAPTURE(status);
            answers.checkNotPassedOn([&](const HttpRequest &request) {
                return answerText(status, acceptableFields(request, route), answerWithStatus("200", request, route));
            });
        }
    }
}

TEST_CASE("a call to which a server answers with a status below 100 does not wait for another answer")
{
    for (const auto &route : Routes) {
        OddAnswers answers(route);
        CAPTURE(route);
        answers.checkNotPassedOn(
            [&](const HttpRequest &request) { return answerText("000", acceptableFields(request, route), ""); },
            ConnectionEnd::KeptOpen);
    }
}

namespace
{

/// Lines of a head whose names are none.
const std::vector<std::string> &oddLines()
{
    static const std::vector<std::string> Lines{"X Odd: 1",
                                                "X\tOdd: 1",
                                                "X-Odd : 1",
                                                "X-Odd\t: 1",
                                                " X-Odd: 1",
                                                "\tX-Odd: 1",
                                                "  ",
                                                "X\x01Odd: 1",
                                                "\x01X-Odd: 1",
                                                "X-Odd\x1f: 1",
                                                "X\x7fOdd: 1",
                                                std::string("X\0Odd: 1", 8),
                                                "X\rOdd: 1",
                                                "X\nOdd: 1",
                                                "X\x80Odd: 1",
                                                "X(Odd): 1",
                                                ": 1",
                                                "X-Odd"};
    return Lines;
}

/// Lines that would frame a body if their names had no blank or control byte.
const std::vector<std::string> &oddFramingLines()
{
    static const std::vector<std::string> Lines{"Transfer-Encoding : chunked",
                                                " Transfer-Encoding: chunked",
                                                "\tTransfer-Encoding: chunked",
                                                "\x0bTransfer-Encoding: chunked",
                                                "Transfer-Encoding\x0b: chunked",
                                                "Transfer Encoding: chunked"};
    return Lines;
}

} // namespace

TEST_CASE("an answer in whose head the name of a field holds a blank or a control byte is not passed on")
{
    for (const auto &route : Routes) {
        OddAnswers answers(route);
        for (const auto &line : oddLines()) {
            for (const bool isFirst : {true, false}) {
                CAPTURE(route);
                CAPTURE(line);
                CAPTURE(isFirst);
                answers.checkNotPassedOn([&](const HttpRequest &request) {
                    auto fields = acceptableFields(request, route);
                    fields.insert(isFirst ? 0 : fields.size(), std::string(line).append("\r\n"));
                    return answerText("200", fields, bodyFor(route));
                });
            }
        }
    }
}

TEST_CASE("a body is not passed on with the bytes that frame it because a name in the head is spoiled")
{
    for (const auto &route : Routes) {
        OddAnswers answers(route);
        for (const auto &line : oddFramingLines()) {
            CAPTURE(route);
            CAPTURE(line);
            answers.checkNotPassedOn([&](const HttpRequest &request) {
                const auto fields = acceptableFields(request, route).append(line).append("\r\n");
                return chunkedAnswerText(fields, bodyFor(route));
            });
        }
    }
}
