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
/// A caller accepts a time to come back of up to this fraction of the time that it has left.
constexpr double AcceptedFraction = 1.0 / 3;
constexpr double MsPerSecond = 1000;
/// A caller gives up a call without a first event after this time.
constexpr Milliseconds CallerTimeout{2000};
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

    /// Sends a call and, while it waits, lets the group work again.
    CallResult callUntilBack(const std::string &id, int remainingMs, bool hasOtherCallers)
    {
        // A call that has just arrived may be sent to find out whether the group works.
        m_fleet.spawnTask(read("probe", RouteTimeoutMs));
        std::optional<CallResult> result;
        m_fleet.spawnTask(readInto(id, remainingMs, result));
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

    void waitForLog(const std::string &text)
    {
        m_fleet.run(m_fleet.waitForLog(0, text));
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
    service.waitForLog("request=refused status=503 problem=no-backend-server detail=service-stopped");
    CAPTURE(service.log());
    CHECK(refused.status == Unavailable);
    // Its caller is still there to be told.
    CHECK(refused.duration < CallerTimeout);
    REQUIRE_FALSE(refused.retryAfter.empty());
    const auto retryAfter = std::stod(refused.retryAfter);
    const auto longestAccepted
        = static_cast<double>(RouteTimeoutMs - refused.duration.count()) * AcceptedFraction / MsPerSecond;
    CHECK(retryAfter <= longestAccepted);
    CHECK(retryAfter > longestAccepted * 0.9);
}

TEST_CASE("a call that comes for the first time is served when the service works again within its wait")
{
    StoppedService service;
    CHECK(service.call("before", RouteTimeoutMs).status == Ok);
    service.stop();
    const auto result = service.callUntilBack("waiting", RouteTimeoutMs, true);
    CAPTURE(service.log());
    CHECK(result.status == Ok);
    CHECK(result.isComplete);
}

TEST_CASE("a call that has come back waits for a service that stands still, and is served when it works")
{
    for (const bool hasOtherCallers : {true, false}) {
        CAPTURE(hasOtherCallers);
        StoppedService service;
        CHECK(service.call("before", RouteTimeoutMs).status == Ok);
        service.stop();
        const auto result = service.callUntilBack("returning", RestAfterRefusalMs, hasOtherCallers);
        CAPTURE(service.log());
        CHECK(result.status == Ok);
        CHECK(result.isComplete);
        CHECK(service.call("after", RouteTimeoutMs).status == Ok);
    }
}
