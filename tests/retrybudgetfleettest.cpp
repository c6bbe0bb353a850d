#include "support/gatewayfleet.h"

using namespace Cardamomhill;

namespace
{

constexpr std::size_t HostCount = 6;
constexpr int Lives = 8;
constexpr int CallsPerLife = 12;
constexpr double RetrySlack = 240;
constexpr double RetryRatio = 0.2;
constexpr Milliseconds Window{10000};

/// Arrivals of calls at the servers, and the calls that callers sent.
struct Traffic {
    std::map<std::string, int> arrivals;
    std::vector<SteadyTime> repeats;
    std::vector<SteadyTime> calls;
    /// Calls that have no answer yet.
    int openCalls = 0;
};

std::size_t countWithin(const std::vector<SteadyTime> &times, SteadyTime begin)
{
    return static_cast<std::size_t>(std::count_if(
        times.begin(), times.end(), [begin](SteadyTime time) { return time >= begin && time < begin + Window; }));
}

/// By how many arrivals beyond the first of their calls the worst window exceeds what the fleet may cause.
double excessOf(const Traffic &traffic)
{
    double excess = -RetrySlack;
    for (const auto begin : traffic.repeats) {
        std::size_t calls = 0;
        for (const auto shift : {Milliseconds(0), Window / 2, Window}) {
            calls = std::max(calls, countWithin(traffic.calls, begin - shift));
        }
        const double allowed = RetryRatio * static_cast<double>(calls) + RetrySlack;
        excess = std::max(excess, static_cast<double>(countWithin(traffic.repeats, begin)) - allowed);
    }
    return excess;
}

Task<> callAndCount(GatewayFleet &fleet, std::size_t host, std::string id, Traffic &traffic)
{
    co_await fleet.call(host, GatewayFleet::makeCall("/safe/truncated", id));
    --traffic.openCalls;
}

/// Kills and starts all hosts again and again, and sends some calls to each of them in between.
Task<> restartUnderCalls(GatewayFleet &fleet, Traffic &traffic)
{
    for (int life = 0; life < Lives; ++life) {
        co_await fleet.waitUntilReady();
        for (std::size_t host = 0; host < HostCount; ++host) {
            for (int number = 0; number < CallsPerLife; ++number) {
                const auto id = std::to_string(life) + "-" + std::to_string(host) + "-" + std::to_string(number);
                traffic.calls.push_back(steadyNow());
                ++traffic.openCalls;
                fleet.spawnTask(callAndCount(fleet, host, id, traffic));
            }
        }
        while (traffic.openCalls > 0) {
            co_await fleet.sleep(Milliseconds(10));
        }
        for (std::size_t host = 0; host < HostCount; ++host) {
            fleet.kill(host);
            fleet.start(host);
        }
    }
}

} // namespace

TEST_CASE("hosts that start again and again retry no more often than the fleet may in a window")
{
    GatewayFleet fleet(HostCount,
                       {"bad-1", "bad-2", "bad-3", "bad-4", "bad-5", "bad-6"},
                       "retry_slack: " + std::to_string(static_cast<int>(RetrySlack)) + "\n");
    Traffic traffic;
    fleet.onRun = [&traffic](const std::string &, const HttpRequest &request) {
        if (++traffic.arrivals[std::string(request["Cardamomhill-Request-Id"])] > 1) {
            traffic.repeats.push_back(steadyNow());
        }
    };
    fleet.run(restartUnderCalls(fleet, traffic));
    CHECK(traffic.arrivals.size() == std::size_t{HostCount} * Lives * CallsPerLife);
    // Failing calls are retried as far as the calls pay for it.
    CHECK_FALSE(traffic.repeats.empty());
    MESSAGE(traffic.repeats.size(), " repeats of ", traffic.calls.size(), " calls");
    CHECK(excessOf(traffic) <= 0);
}
