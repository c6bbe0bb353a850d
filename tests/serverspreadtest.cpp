#include "support/spreadsimulation.h"

#include <doctest/doctest.h>

using namespace Cardamomhill;

namespace
{

constexpr Seconds WarmUp{4};
constexpr Seconds MeasuredTime{10};

/// A large fleet with half of its slots in use.
constexpr SpreadWorkload LargeFleet{148, 192, 6, 470, 1.3};
/// A medium fleet with three of four slots in use.
constexpr SpreadWorkload BusyFleet{71, 63, 10, 235, 2.0};
/// A small fleet with three of four slots in use.
constexpr SpreadWorkload SmallFleet{21, 16, 12, 75, 1.9};

double queuedFraction(const SpreadResult &result)
{
    return static_cast<double>(result.queued) / static_cast<double>(result.calls);
}

SpreadResult simulate(const SpreadWorkload &workload, ServerTableOptions options = {})
{
    return SpreadSimulation(workload, options, 1).run(WarmUp, MeasuredTime);
}

} // namespace

TEST_CASE("with free slots few calls wait behind others, however many hosts choose at the same time")
{
    const auto large = simulate(LargeFleet);
    CHECK(large.refused == 0);
    CHECK(queuedFraction(large) < 0.02);
    CHECK(queuedFraction(simulate(BusyFleet)) < 0.05);
    CHECK(queuedFraction(simulate(SmallFleet)) < 0.05);
}

TEST_CASE("hosts that compare all servers overload those that looked idle in the last notices")
{
    for (const auto &workload : {LargeFleet, BusyFleet}) {
        ServerTableOptions all;
        all.sampledServers = workload.servers;
        CHECK(queuedFraction(simulate(workload, all)) > 5 * queuedFraction(simulate(workload)));
    }
}

TEST_CASE("an overloaded fleet refuses excess calls immediately and keeps its queues short")
{
    auto overload = SmallFleet;
    overload.callsPerSecond = 2 * overload.callsPerSecond;
    const auto result = simulate(overload);
    CHECK(result.refused > result.calls / 5);
    // At most 0.6 calls wait for each slot, which is about a second of work.
    CHECK(result.queued > 0);
}
