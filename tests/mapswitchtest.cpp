#include "support/switchworld.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Cardamomhill;

namespace
{

constexpr Seconds FaultyTime{30};
/// Long enough for a lease to lapse twice and for the last late order.
constexpr Seconds CalmTime{30};

/// Whether some of the schedules shows a violation.
bool findsViolation(const SwitchWorldFaults &faults)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        SwitchWorld world(seed, faults);
        world.run(FaultyTime, CalmTime);
        if (!world.violation().empty()) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_CASE("no schedule of failures makes a step begin with two maps or holds a group for good")
{
    std::size_t switches = 0;
    CHECK(rc::check([&switches](std::uint64_t seed) {
        SwitchWorld world(seed, SwitchWorldFaults());
        world.run(FaultyTime, CalmTime);
        switches += world.switches();
        if (!world.violation().empty()) {
            RC_FAIL(world.violation());
        }
    }));
    CHECK(switches > 0);
}

TEST_CASE("without failures a switch is made each time")
{
    SwitchWorldFaults none;
    none.lostRequest = none.lostAnswer = none.lateOrder = 0;
    none.coordinatorDeath = none.coordinatorFreeze = none.rankRestart = 0;
    SwitchWorld world(7, none);
    world.run(FaultyTime, Seconds(1));
    CHECK(world.violation() == "");
    CHECK(world.switches() >= 10);
}

TEST_CASE("a map is sent to few ranks of a large group at a time, and one report ends the wait for the copies")
{
    constexpr std::size_t Ranks = 96;
    constexpr std::size_t MapsAtOnce = 7;
    constexpr std::uint64_t Epoch = 1;
    SteadyTime now{Seconds(100)};
    OrderTokens tokens(1);
    MapSwitch mapSwitch(Ranks, Epoch, tokens);
    const auto acceptAll = [&] {
        for (const auto &order : mapSwitch.takeOrders(now)) {
            mapSwitch.onAnswer(order, OrderAnswer::Accepted, now);
        }
    };
    RankState state;
    state.epoch = Epoch;
    state.isOpen = true;
    acceptAll();
    now += Seconds(1);
    REQUIRE(mapSwitch.reportNeed(now) == ReportNeed::AllRanks);
    mapSwitch.onReports(std::vector<std::optional<RankState>>(Ranks, state), now);
    REQUIRE(mapSwitch.phase() == SwitchPhase::Idle);

    const auto map = std::make_shared<ExpertMap>(GroupShape{Ranks, 1, 1});
    mapSwitch.begin(map, Milliseconds(30), MapsAtOnce, now);
    auto underWay = mapSwitch.takeOrders(now);
    CHECK(underWay.size() == MapsAtOnce);
    std::size_t sent = underWay.size();
    while (!underWay.empty()) {
        mapSwitch.onAnswer(underWay.back(), OrderAnswer::Accepted, now);
        underWay.pop_back();
        const auto next = mapSwitch.takeOrders(now);
        REQUIRE(next.size() <= 1);
        sent += next.size();
        underWay.insert(underWay.end(), next.begin(), next.end());
        REQUIRE(underWay.size() <= MapsAtOnce);
    }
    CHECK(sent == Ranks);
    CHECK(mapSwitch.reportNeed(now) == ReportNeed::None);
    now += Milliseconds(30);
    CHECK(mapSwitch.reportNeed(now) == ReportNeed::AnyRank);
    state.step = 5;
    mapSwitch.onState(Ranks - 1, state, now);
    CHECK(mapSwitch.phase() == SwitchPhase::Holding);
    CHECK(mapSwitch.step() > state.step);
}

TEST_CASE("the checks find an engine that obeys orders with old tokens")
{
    SwitchWorldFaults faults;
    faults.engineIgnoresTokens = true;
    CHECK(findsViolation(faults));
}

TEST_CASE("the checks find a coordinator that takes an order without an answer as done")
{
    SwitchWorldFaults faults;
    faults.lostCountsAsAccepted = true;
    CHECK(findsViolation(faults));
}
