#include "support/spreadworld.h"

#include <doctest/doctest.h>

using namespace Cardamomhill;

namespace
{

constexpr Seconds WarmUp{4};
constexpr Seconds Measured{10};

/// A large fleet with half of its slots in use.
constexpr SpreadLoad LargeFleet{148, 192, 6, 470, 1.3};
/// A grown one with three of four slots in use.
constexpr SpreadLoad BusyFleet{71, 63, 10, 235, 2.0};
/// A small one with three of four slots in use.
constexpr SpreadLoad SmallFleet{21, 16, 12, 75, 1.9};

double waitedPart(const SpreadResult &result)
{
    return static_cast<double>(result.waited) / static_cast<double>(result.calls);
}

SpreadResult play(const SpreadLoad &load, ServerTableOptions options = {})
{
    return SpreadWorld(load, options, 1).run(WarmUp, Measured);
}

} // namespace

TEST_CASE("on a fleet with free slots hardly a call waits behind others, however many hosts choose at once")
{
    const auto large = play(LargeFleet);
    CHECK(large.refused == 0);
    CHECK(waitedPart(large) < 0.02);
    CHECK(waitedPart(play(BusyFleet)) < 0.05);
    CHECK(waitedPart(play(SmallFleet)) < 0.05);
}

TEST_CASE("hosts that compare all servers crowd those that looked idle")
{
    for (const auto &load : {LargeFleet, BusyFleet}) {
        ServerTableOptions all;
        all.comparedServers = load.servers;
        CHECK(waitedPart(play(load, all)) > 5 * waitedPart(play(load)));
    }
}

TEST_CASE("a fleet with more calls than slots refuses the rest at once and keeps its queues short")
{
    auto overload = SmallFleet;
    overload.callsPerSecond = 2 * overload.callsPerSecond;
    const auto result = play(overload);
    CHECK(result.refused > result.calls / 5);
    // Waiting calls are bounded by 0.6 for each slot, which is about a second of work.
    CHECK(result.waited > 0);
}
