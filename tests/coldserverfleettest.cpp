#include "support/gatewayfleet.h"

#include <algorithm>

using namespace Cardamomhill;

namespace
{

constexpr std::size_t HostCount = 6;
constexpr int CallersPerHost = 3;
constexpr Milliseconds CallInterval{30};
constexpr Milliseconds ColdTime{6000};
constexpr double Rate = 14;
constexpr std::size_t Limit = 26;
const std::string Bounds = "cold_overshoot: 1.5\ncold_slack: 5\n";

/// Calls that arrived at the cold server, and calls that were not answered with a success.
struct Crowd {
    std::vector<SteadyTime> arrivals;
    int refused = 0;
    int openCallers = 0;
    bool isOver = false;
};

Task<> callRepeatedly(GatewayFleet &fleet, std::size_t host, std::string caller, Crowd &crowd)
{
    constexpr unsigned Ok = 200;
    for (int number = 0; !crowd.isOver; ++number) {
        const auto result
            = co_await fleet.call(host, GatewayFleet::makeCall("/safe/ok", caller + "-" + std::to_string(number)));
        crowd.refused += result.status == Ok ? 0 : 1;
        co_await fleet.sleep(CallInterval);
    }
    --crowd.openCallers;
}

Task<> callWhileServerIsCold(GatewayFleet &fleet, Crowd &crowd)
{
    co_await fleet.sleep(Seconds(2));
    fleet.addServer("cold", 2);
    for (std::size_t host = 0; host < HostCount; ++host) {
        co_await fleet.waitForLog(host, "event=server-cold server=cold reason=new-process");
        for (int caller = 0; caller < CallersPerHost; ++caller) {
            ++crowd.openCallers;
            const auto name = std::to_string(host) + "-" + std::to_string(caller);
            fleet.spawnTask(callRepeatedly(fleet, host, name, crowd));
        }
    }
    for (std::size_t host = 0; host < HostCount; ++host) {
        co_await fleet.waitForLog(host, "event=server-warm server=cold");
    }
    crowd.isOver = true;
    while (crowd.openCallers > 0) {
        co_await fleet.sleep(Milliseconds(10));
    }
}

void limitShop(GatewayFleet &fleet)
{
    fleet.configure([](nlohmann::json &document) {
        document["services"][0]["cold-start-s"] = std::chrono::duration<double>(ColdTime).count();
        document["services"][0]["cold-per-s"] = Rate;
    });
}

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

/// The registration of a server whose remaining time counts down.
Task<> registerWhileCold(GatewayFleet &fleet)
{
    constexpr int Heartbeats = 5;
    constexpr Milliseconds Interval{400};
    co_await fleet.waitForLog(0, "event=configuration-in-force version=2");
    auto document = nlohmann::json::parse(
        serverDocument({"warm", controlAddress(fleet.server("warm").endpoint()).value(), 1, false}));
    for (int left = Heartbeats; left >= 0; --left) {
        document["cold-remaining-ms"] = (Interval * left).count();
        document["sequence"] = 2 + Heartbeats - left;
        fleet.store.put("servers", "warm", document);
        co_await fleet.sleep(Interval);
    }
    co_await fleet.waitForLog(0, "event=server-warm server=warm");
    CHECK(countOf(fleet.log(0), "event=server-cold server=warm reason=stated") == 1);
    CHECK(countOf(fleet.log(0), "event=server-present server=warm") == 1);
}

Task<> callOnce(GatewayFleet &fleet)
{
    co_await fleet.waitForLog(0, "event=configuration-in-force version=2");
    co_await fleet.call(0, GatewayFleet::makeCall("/safe/ok", "c"));
    co_await fleet.waitForLog(0, "event=server-cold server=warm reason=stated");
}

std::size_t mostInOneSecond(const std::vector<SteadyTime> &times, SteadyTime end)
{
    std::size_t most = 0;
    for (const auto begin : times) {
        const auto isInSecond
            = [&](SteadyTime time) { return time >= begin && time <= begin + Seconds(1) && time < end; };
        most = std::max(most, static_cast<std::size_t>(std::count_if(times.begin(), times.end(), isInSecond)));
    }
    return most;
}

} // namespace

// Guards against a limit that no process applies: lost settings, configuration, list of hosts or count of calls.
TEST_CASE("the processes of a fleet keep a new server within its limit while it is cold, and send it calls")
{
    GatewayFleet fleet(HostCount, {"warm"}, Bounds);
    limitShop(fleet);
    Crowd crowd;
    fleet.onRun = [&crowd](const std::string &server, const HttpRequest &) {
        if (server == "cold") {
            crowd.arrivals.push_back(steadyNow());
        }
    };
    fleet.run(callWhileServerIsCold(fleet, crowd));
    REQUIRE_FALSE(crowd.arrivals.empty());
    // The hosts learn of the new server after its start, so it is cold at least for the rest of this time.
    const auto end = crowd.arrivals.front() + ColdTime / 2;
    MESSAGE(mostInOneSecond(crowd.arrivals, end), " calls in a second, ", crowd.refused, " refused");
    CHECK(mostInOneSecond(crowd.arrivals, end) <= Limit);
    CHECK(crowd.refused == 0);
}

// Guards against a server that goes cold without a restart unnoticed, and against a log line for each heartbeat.
TEST_CASE("a server that states in its registrations that it is cold is noticed, and is logged once")
{
    GatewayFleet fleet(1, {"warm"}, Bounds);
    limitShop(fleet);
    fleet.run(registerWhileCold(fleet));
}

TEST_CASE("a server that states in an answer that it is cold is noticed")
{
    GatewayFleet fleet(1, {"warm"}, Bounds);
    limitShop(fleet);
    fleet.server("warm").setRawAnswer([](const HttpRequest &) {
        return DirectBackend::RawAnswer{"HTTP/1.1 200 OK\r\nCardamomhill-Request-Id: c\r\n"
                                        "Cardamomhill-Response-Seal: seal\r\nCardamomhill-Cold-Remaining: 3000\r\n"
                                        "Content-Length: 2\r\n\r\nok"};
    });
    fleet.run(callOnce(fleet));
}
