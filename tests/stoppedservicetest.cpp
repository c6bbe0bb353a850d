// Guards against callers that are lost while all engines of a service stand still for seconds: told to come back too
// soon, refused when they come back, or never served again once the engines work.

#include "standins/enginegroup.h"
#include "support/gatewayfleet.h"

#include <optional>

using namespace Cardamomhill;

namespace
{

constexpr int RouteTimeoutMs = 8000;
/// What a caller that has come back after a refusal states.
constexpr int RestAfterRefusalMs = 5000;
/// A caller accepts a time to come back of up to a third of the time that it has left.
constexpr double LongestAcceptedReturn = RouteTimeoutMs / 3.0 / 1000;
constexpr int Events = 3;
constexpr Milliseconds StallTime{900};
constexpr Milliseconds FailedCallsTime{2500};
constexpr Milliseconds CallInterval{50};
constexpr unsigned Ok = 200;
constexpr unsigned Unavailable = 503;

/// One gateway before one group of engines, which can be down.
class StoppedService
{
public:
    StoppedService()
        : m_fleet(1, {"plain"}, "engine_stall_ms: " + std::to_string(StallTime.count()) + "\n")
        , m_group(m_fleet.context(),
                  options(),
                  {[this](const auto &) { ++m_runs; }, [](const auto &) {}, [](const auto &) {}})
    {
        REQUIRE(m_group.start(m_fleet.store).has_value());
        m_fleet.configure([](nlohmann::json &document) {
            document["routes"][2]["service"] = "model";
            document["routes"][2]["timeout-ms"] = RouteTimeoutMs;
            document["services"].push_back(EngineGroup::serviceDocument("model"));
        });
        m_fleet.run(m_fleet.waitForLog(0, "event=configuration-in-force version=2"));
        m_fleet.run(m_fleet.waitForLog(0, "event=server-present server=group-1"));
    }

    /// Has the group go down and several calls fail there.
    void stop()
    {
        m_group.setDown(true);
        for (int call = 0; call < 3; ++call) {
            m_fleet.spawnTask(read("failed-" + std::to_string(call), RouteTimeoutMs));
        }
        m_fleet.run(m_fleet.sleep(FailedCallsTime));
    }

    CallResult call(const std::string &id, int remainingMs)
    {
        m_fleet.run(read(id, remainingMs));
        return m_last;
    }

    /// Sends a call while another one finds out whether the engines work.
    CallResult callBesideProbe(const std::string &id)
    {
        m_fleet.spawnTask(read("probe", RouteTimeoutMs));
        m_fleet.run(m_fleet.sleep(CallInterval));
        const auto runs = m_runs;
        auto result = call(id, RouteTimeoutMs);
        CHECK(m_runs == runs);
        return result;
    }

    /// Sends a call that has come back and, while it waits, lets the group work again.
    CallResult callUntilBack(bool hasOtherCallers)
    {
        std::optional<CallResult> result;
        m_fleet.spawnTask(readInto("returning", RestAfterRefusalMs, result));
        m_fleet.run(m_fleet.sleep(CallInterval * 2));
        CHECK_FALSE(result.has_value());
        m_group.setDown(false);
        for (int call = 0; !result; ++call) {
            if (hasOtherCallers) {
                m_fleet.spawnTask(read("other-" + std::to_string(call), RouteTimeoutMs));
            }
            m_fleet.run(m_fleet.sleep(CallInterval));
        }
        return *result;
    }

    std::string log() const
    {
        return m_fleet.log(0);
    }

private:
    static EngineGroupOptions options()
    {
        EngineGroupOptions options;
        options.name = "group";
        options.service = "model";
        options.ranks = 2;
        return options;
    }

    Task<> read(std::string id, int remainingMs)
    {
        std::optional<CallResult> result;
        co_await readInto(id, remainingMs, result);
        m_last = *result;
    }

    Task<> readInto(std::string id, int remainingMs, std::optional<CallResult> &result)
    {
        auto request = GatewayFleet::makeCall("/draft/stream", id);
        request.set("X-Events", std::to_string(Events));
        request.set("Cardamomhill-Request-Deadline", std::to_string(remainingMs));
        result = co_await m_fleet.call(0, request);
    }

    GatewayFleet m_fleet;
    EngineGroup m_group;
    CallResult m_last;
    int m_runs = 0;
};

} // namespace

TEST_CASE("a call to a service that stands still is refused unsent and comes back as late as its caller accepts")
{
    StoppedService service;
    CHECK(service.call("before", RouteTimeoutMs).status == Ok);
    service.stop();
    const auto refused = service.callBesideProbe("refused");
    CAPTURE(service.log());
    CHECK(refused.status == Unavailable);
    CHECK(service.log().find("detail=service-stopped") != std::string::npos);
    REQUIRE_FALSE(refused.retryAfter.empty());
    const auto retryAfter = std::stod(refused.retryAfter);
    CHECK(retryAfter <= LongestAcceptedReturn);
    CHECK(retryAfter > LongestAcceptedReturn * 0.9);
}

TEST_CASE("a call that has come back waits for a service that stands still, and is served when it works")
{
    for (const bool hasOtherCallers : {true, false}) {
        CAPTURE(hasOtherCallers);
        StoppedService service;
        CHECK(service.call("before", RouteTimeoutMs).status == Ok);
        service.stop();
        const auto result = service.callUntilBack(hasOtherCallers);
        CAPTURE(service.log());
        CHECK(result.status == Ok);
        CHECK(result.isComplete);
        CHECK(service.call("after", RouteTimeoutMs).status == Ok);
    }
}
