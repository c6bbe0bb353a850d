#include "support/loopbackgateway.h"

using namespace Cardamomhill;

namespace
{

constexpr unsigned Ok = 200;
constexpr unsigned Unavailable = 503;
constexpr int EventsBeforeBreak = 4;

/// The events that a stream has delivered before it breaks.
std::string eventsBeforeBreak()
{
    std::string events;
    for (int number = 1; number <= EventsBeforeBreak; ++number) {
        const auto text = std::to_string(number);
        events.append("id: ").append(text).append("\ndata: event-").append(text).append("\n\n");
    }
    return events;
}

/// The field of an answer's body that repeats the body of the request, which is its id.
bool isOwnAnswer(const CallResult &result, const std::string &id)
{
    return result.isComplete && result.body.find("\"body\":\"" + id + "\"") != std::string::npos;
}

struct Violations {
    int wrongAnswers = 0;
    int falsePromises = 0;
    int repeatedRuns = 0;
    int served = 0;
};

/// Sends calls one after another, so that those that may be repeated use kept connections.
Violations sendCalls(LoopbackGateway &gateway, const std::string &path, bool mayRepeat)
{
    constexpr int Calls = 40;
    Violations violations;
    const auto scenario = [&]() -> Task<> {
        for (int i = 0; i < Calls; ++i) {
            const auto id = "call" + std::to_string(i);
            auto request = LoopbackGateway::makeCall(path, id);
            const auto result = co_await gateway.call(std::move(request));
            const bool isServed = result.status == Ok;
            violations.served += isServed ? 1 : 0;
            violations.wrongAnswers += isServed && !isOwnAnswer(result, id) ? 1 : 0;
            violations.wrongAnswers += result.body.find("stale") != std::string::npos ? 1 : 0;
            violations.falsePromises += result.status == Unavailable && gateway.runsOf(id) > 0 ? 1 : 0;
            violations.repeatedRuns += !mayRepeat && gateway.runsOf(id) > 1 ? 1 : 0;
        }
    };
    gateway.run(scenario());
    return violations;
}

} // namespace

TEST_CASE("a refusal that a server writes once more answers no other call and lets none run twice")
{
    for (const std::string when : {"before", "joined", "split", "unnamed", "after", "late"}) {
        for (const std::string route : {"safe", "pay"}) {
            for (const bool isAlone : {true, false}) {
                CAPTURE(when);
                CAPTURE(route);
                CAPTURE(isAlone);
                std::vector<std::string> servers{"bad-1"};
                if (!isAlone) {
                    servers.emplace_back("good-1");
                }
                const auto path = std::string("/").append(route).append("/refusal-").append(when);
                LoopbackGateway gateway(servers);
                const auto violations = sendCalls(gateway, path, route == "safe");
                CHECK(violations.wrongAnswers == 0);
                CHECK(violations.falsePromises == 0);
                CHECK(violations.repeatedRuns == 0);
                CHECK(violations.served > 0);
            }
        }
    }
}

TEST_CASE("a refusal with the id of its call that arrives in pieces is a refusal")
{
    LoopbackGateway gateway({"bad-1", "good-1"});
    const auto violations = sendCalls(gateway, "/pay/own-refusal", false);
    CHECK(violations.wrongAnswers == 0);
    CHECK(violations.repeatedRuns == 0);
    CHECK(violations.served == 40);
}

TEST_CASE("a stream that broke is not continued with an answer that is not its continuation")
{
    for (const std::string route : {"draft", "talk"}) {
        for (const std::string fault :
             {"error", "refused", "unsigned", "plain", "empty", "not-found", "cut-head", "error-head"}) {
            CAPTURE(route);
            CAPTURE(fault);
            LoopbackGateway gateway({"s1", "s2"});
            CallResult result;
            const auto path = std::string("/").append(route).append("/resumed-").append(fault);
            const auto scenario = [&]() -> Task<> {
                auto request = LoopbackGateway::makeCall(path, "stream");
                result = co_await gateway.call(std::move(request));
            };
            gateway.run(scenario());
            CAPTURE(gateway.log());
            CHECK(result.status == Ok);
            CHECK(result.body == eventsBeforeBreak());
            CHECK_FALSE(result.isComplete);
            CHECK(gateway.runsOf("stream") == (route == "draft" ? 2 : 1));
        }
    }
}

TEST_CASE("a stream that broke after an event without an id is not begun anew at another server")
{
    LoopbackGateway gateway({"s1", "s2"});
    CallResult result;
    const auto scenario = [&]() -> Task<> {
        auto request = LoopbackGateway::makeCall("/draft/anonymous-stream", "stream");
        result = co_await gateway.call(std::move(request));
    };
    gateway.run(scenario());
    CAPTURE(gateway.log());
    CHECK_FALSE(result.isComplete);
    CHECK(result.body == "data: a\n\n: comment\n\n");
    CHECK(gateway.runsOf("stream") == 1);
}

TEST_CASE("a call without an id gets no answer to an earlier call")
{
    LoopbackGateway gateway({"bad-1"});
    int wrongAnswers = 0;
    const auto scenario = [&]() -> Task<> {
        for (int i = 0; i < 10; ++i) {
            auto named = LoopbackGateway::makeCall("/safe/ok", "named");
            co_await gateway.call(std::move(named));
            auto unnamed = LoopbackGateway::makeCall("/safe/refusal-unnamed", "");
            const auto result = co_await gateway.call(std::move(unnamed));
            wrongAnswers += result.status == Ok ? 0 : 1;
        }
    };
    gateway.run(scenario());
    CAPTURE(gateway.log());
    CHECK(wrongAnswers == 0);
}
