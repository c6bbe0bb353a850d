#include "support/loopbackgateway.h"

using namespace Cardamomhill;

namespace
{

constexpr unsigned Ok = 200;
constexpr unsigned Unavailable = 503;

/// Sends calls one after another and returns how many were answered with the given status.
Task<int> sendCalls(LoopbackGateway &gateway, std::string name, int count, unsigned status, std::string path)
{
    int answered = 0;
    for (int i = 0; i < count; ++i) {
        auto request = LoopbackGateway::makeCall(path, name + std::to_string(i));
        const auto result = co_await gateway.call(std::move(request));
        answered += result.status == status ? 1 : 0;
    }
    co_return answered;
}

/// Sends as many slow calls at once as give every server a part of them, and returns how many were answered with
/// success.
Task<int> sendAtOnce(LoopbackGateway &gateway, std::string name)
{
    constexpr int Calls = 16;
    int ended = 0;
    int answered = 0;
    for (int i = 0; i < Calls; ++i) {
        auto request = LoopbackGateway::makeCall("/safe/slow", name + std::to_string(i));
        request.set("X-Delay-Ms", "50");
        const auto onEnd = [&ended, &answered](const std::exception_ptr &, const CallResult &result) {
            ++ended;
            answered += result.status == Ok ? 1 : 0;
        };
        auto call = gateway.call(std::move(request));
        asio::co_spawn(co_await asio::this_coro::executor, std::move(call), onEnd);
    }
    while (ended < Calls) {
        co_await gateway.sleep(Milliseconds(5));
    }
    co_return answered;
}

} // namespace

TEST_CASE("a server that says in an answer that it is leaving gets no further call, whatever the store says")
{
    constexpr int Calls = 40;
    const auto *path = "/safe/ok";
    SUBCASE("in a success")
    {
    }
    SUBCASE("in a refusal")
    {
        path = "/safe/shed";
    }
    SUBCASE("in an error")
    {
        path = "/safe/error";
    }
    SUBCASE("in the head of a stream")
    {
        path = "/draft/stream";
    }
    LoopbackGateway gateway({"bad-1", "good-1"});
    auto &leaving = gateway.server("bad-1");
    std::uint64_t callsBefore = 0;
    std::uint64_t callsAfter = 0;
    int answered = 0;
    int answeredAfterRestart = 0;
    const auto scenario = [&]() -> Task<> {
        leaving.setLeaving(true);
        const std::string first = "first";
        const std::string later = "later";
        const std::string restarted = "restarted";
        const std::string firstPath = path;
        const std::string plainPath = "/safe/ok";
        while (leaving.callCount() == 0) {
            co_await sendCalls(gateway, first, 1, Ok, firstPath);
        }
        callsBefore = leaving.callCount();
        answered = co_await sendCalls(gateway, later, Calls, Ok, plainPath);
        // The registration changes, is removed and comes back, always for the same process.
        gateway.store.remove("servers", "bad-1");
        const std::string gone = "event=server-gone server=bad-1";
        co_await gateway.waitForLog(gone);
        gateway.registerServer("bad-1", 1);
        co_await gateway.sleep(Milliseconds(1500));
        answered += co_await sendCalls(gateway, later, Calls, Ok, plainPath);
        callsAfter = leaving.callCount();
        leaving.setLeaving(false);
        gateway.registerServer("bad-1", 2);
        co_await gateway.sleep(Milliseconds(1500));
        answeredAfterRestart = co_await sendCalls(gateway, restarted, Calls, Ok, plainPath);
    };
    gateway.run(scenario());
    CAPTURE(gateway.log());
    CHECK(answered == 2 * Calls);
    CHECK(callsAfter == callsBefore);
    // A new process with the id takes calls.
    CHECK(answeredAfterRestart == Calls);
    CHECK(leaving.callCount() > callsAfter);
}

TEST_CASE("a stream at a server goes on after the server has said that it is leaving")
{
    LoopbackGateway gateway({"s1"});
    CallResult stream;
    CallResult refused;
    const auto scenario = [&]() -> Task<> {
        auto request = LoopbackGateway::makeCall("/talk/stream", "stream");
        request.set("X-Events", "20");
        request.set("X-Event-Interval-Ms", "50");
        bool hasEnded = false;
        asio::co_spawn(
            co_await asio::this_coro::executor,
            [&]() -> Task<> {
                auto moved = request;
                stream = co_await gateway.call(std::move(moved));
                hasEnded = true;
            },
            asio::detached);
        co_await gateway.sleep(Milliseconds(200));
        gateway.server("s1").setLeaving(true);
        auto last = LoopbackGateway::makeCall("/safe/ok", "last");
        const auto answered = co_await gateway.call(std::move(last));
        CHECK(answered.status == Ok);
        auto next = LoopbackGateway::makeCall("/safe/ok", "next");
        refused = co_await gateway.call(std::move(next));
        while (!hasEnded) {
            co_await gateway.sleep(Milliseconds(20));
        }
    };
    gateway.run(scenario());
    CAPTURE(gateway.log());
    CHECK(stream.isComplete);
    CHECK(stream.body.find("event-20\n\n") != std::string::npos);
    CHECK(refused.status == Unavailable);
    CHECK(gateway.runs["next"].empty());
}

TEST_CASE("a server gets no calls for the time that it asked for when it refused one, and then gets calls again")
{
    LoopbackGateway gateway({"s1", "s2"});
    auto &held = gateway.server("s1");
    std::uint64_t callsAtStart = 0;
    std::uint64_t callsInHold = 0;
    std::uint64_t callsAfterHold = 0;
    int answered = 0;
    int sent = 0;
    constexpr Milliseconds Hold{2500};
    constexpr Milliseconds Margin{150};
    const auto scenario = [&]() -> Task<> {
        held.setRetryAfter("2.5");
        const std::string path = "/safe/ok";
        const std::string first = "first";
        while (held.callCount() == 0) {
            co_await sendCalls(gateway, first, 1, Ok, path);
        }
        const auto heldAt = steadyNow();
        held.setRetryAfter("");
        callsAtStart = held.callCount();
        for (; steadyNow() < heldAt + Hold - Margin; ++sent) {
            const std::string name = "during" + std::to_string(sent) + "-";
            answered += co_await sendAtOnce(gateway, name) / 16;
        }
        callsInHold = held.callCount() - callsAtStart;
        co_await gateway.sleep(2 * Margin);
        const std::string after = "after";
        co_await sendAtOnce(gateway, after);
        callsAfterHold = held.callCount() - callsAtStart - callsInHold;
    };
    gateway.run(scenario());
    CAPTURE(gateway.log());
    CHECK(sent > 5);
    CHECK(answered == sent);
    CHECK(callsInHold == 0);
    CHECK(callsAfterHold > 0);
}

TEST_CASE("calls that only held servers could serve are refused at once with the time at which one can")
{
    LoopbackGateway gateway({"s1"});
    CallResult first;
    std::vector<CallResult> refused;
    CallResult restarted;
    const auto scenario = [&]() -> Task<> {
        gateway.server("s1").setRetryAfter("3");
        auto request = LoopbackGateway::makeCall("/pay/ok", "first");
        first = co_await gateway.call(std::move(request));
        for (const auto *path : {"/safe/ok", "/pay/ok", "/draft/stream"}) {
            auto next = LoopbackGateway::makeCall(path, "next");
            refused.push_back(co_await gateway.call(std::move(next)));
        }
        CHECK(gateway.server("s1").callCount() == 1);
        gateway.server("s1").setRetryAfter("");
        gateway.registerServer("s1", 2);
        co_await gateway.sleep(Milliseconds(1500));
        auto last = LoopbackGateway::makeCall("/pay/ok", "restarted");
        restarted = co_await gateway.call(std::move(last));
    };
    gateway.run(scenario());
    CAPTURE(gateway.log());
    CHECK(first.status == Unavailable);
    for (const auto &result : refused) {
        CHECK(result.status == Unavailable);
        CHECK(result.duration < Milliseconds(300));
        const auto retryAfter = result.retryAfter.empty() ? 0.0 : std::stod(result.retryAfter);
        CHECK(retryAfter > 2.5);
        CHECK(retryAfter < 6.1);
    }
    CHECK(gateway.runs["next"].empty());
    CHECK(restarted.status == Ok);
    CHECK(gateway.log().find("detail=all-held") != std::string::npos);
}
