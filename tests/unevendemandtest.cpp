// Guards against calls that wait at the server of a busy failure domain while those of other domains are idle, against
// calls that go to another domain for nothing, and against hosts that all move their calls to the same server because
// they know only what notices told them 0.3 s ago.

#include "support/unevendemand.h"

#include <doctest/doctest.h>

#include <iostream>

using namespace Cardamomhill;

namespace
{

/// Two periods of the waves.
constexpr Seconds MeasuredTime{34};
constexpr Seconds WarmUp{4};

UnevenResult play(const UnevenDemand &demand, bool hasEstimates, std::uint64_t seed)
{
    ServerTableOptions options;
    options.maxEstimatedServers = hasEstimates ? options.maxEstimatedServers : 0;
    const auto result = UnevenDemandSimulation(demand, options, seed).run(WarmUp, MeasuredTime);
    std::cout << demand.callsPerSecond << " calls/s, seed " << seed
              << (hasEstimates ? ", by expected response time: " : ", by load alone: ") << 100 * result.onTimeShare()
              << "% on time, mean " << result.meanMs() << " ms, " << result.refused << " refused, " << result.lost
              << " lost, " << result.inOtherDomain << " of " << result.calls << " to another domain\n";
    return result;
}

} // namespace

TEST_CASE("calls are on time although one domain demands a third more and waves reach the domains in turn")
{
    for (const double rate : {680.0, 800.0}) {
        for (const std::uint64_t seed : {1, 2, 3}) {
            UnevenDemand demand;
            demand.callsPerSecond = rate;
            const auto before = play(demand, false, seed);
            const auto after = play(demand, true, seed);
            CHECK(before.onTimeShare() < 0.92);
            CHECK(after.onTimeShare() > 0.99);
            CHECK(after.meanMs() < before.meanMs() / 2);
            CHECK(after.refused == 0);
        }
    }
}

TEST_CASE("with little demand few calls leave their domain, and responses come sooner")
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        UnevenDemand demand;
        demand.callsPerSecond = 360;
        const auto before = play(demand, false, seed);
        const auto after = play(demand, true, seed);
        CHECK(before.inOtherDomain > before.calls / 2);
        CHECK(after.inOtherDomain < after.calls / 20);
        CHECK(after.meanMs() < before.meanMs() - 2);
        CHECK(after.onTimeShare() >= before.onTimeShare());
    }
}

TEST_CASE("with two thirds of the demand in one domain, most calls are still on time")
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        UnevenDemand demand;
        demand.shares = {2, 0.5, 0.5};
        const auto before = play(demand, false, seed);
        const auto after = play(demand, true, seed);
        CHECK(before.onTimeShare() < 0.9);
        CHECK(after.onTimeShare() > 0.99);
    }
}

TEST_CASE("with more demand than the servers can meet, no fewer calls are on time than by load alone")
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        UnevenDemand demand;
        demand.callsPerSecond = 1250;
        CHECK(play(demand, true, seed).onTimeShare() > play(demand, false, seed).onTimeShare());
    }
}

TEST_CASE("a server that stops answering gets calls only until its failures count")
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        UnevenDemand demand;
        demand.callsPerSecond = 500;
        demand.stopsAfter = Seconds(5);
        const auto before = play(demand, false, seed);
        const auto after = play(demand, true, seed);
        CHECK(after.lost < before.lost);
    }
}
