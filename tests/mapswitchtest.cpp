#include "support/switchsimulation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Cardamomhill;

namespace
{

constexpr Seconds FaultyTime{30};
/// Long enough for a lease to expire twice and for the last late order to be carried out.
constexpr Seconds CalmTime{30};

/// Whether a simulation with any of the seeds detects a violation.
bool findsViolation(const SwitchSimulationFaults &faults)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        SwitchSimulation world(seed, faults);
        world.run(FaultyTime, CalmTime);
        if (!world.violation().empty()) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_CASE("under random faults no step begins with two maps, and no group is held forever")
{
    std::size_t switches = 0;
    CHECK(rc::check([&switches](std::uint64_t seed) {
        SwitchSimulation world(seed, SwitchSimulationFaults());
        world.run(FaultyTime, CalmTime);
        switches += world.switches();
        if (!world.violation().empty()) {
            RC_FAIL(world.violation());
        }
    }));
    CHECK(switches > 0);
}

TEST_CASE("without faults switches are completed")
{
    SwitchSimulationFaults noFaults;
    noFaults.lostRequest = noFaults.lostAnswer = noFaults.lateOrder = 0;
    noFaults.coordinatorDeath = noFaults.coordinatorFreeze = noFaults.rankRestart = 0;
    SwitchSimulation world(7, noFaults);
    world.run(FaultyTime, Seconds(1));
    CHECK(world.violation() == "");
    CHECK(world.switches() >= 10);
}

TEST_CASE("a group is not stopped for longer than the bound, however slowly its ranks answer orders")
{
    constexpr Milliseconds MaxHold{250};
    for (const Milliseconds maxDelay : {Milliseconds(1), Milliseconds(100), Milliseconds(200), Milliseconds(400)}) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            CAPTURE(maxDelay.count());
            CAPTURE(seed);
            SwitchSimulationFaults faults;
            faults.lostRequest = faults.lostAnswer = faults.lateOrder = 0;
            faults.coordinatorDeath = faults.coordinatorFreeze = faults.rankRestart = 0;
            faults.maxAnswerDelay = maxDelay;
            SwitchSimulation world(seed, faults);
            world.run(FaultyTime, Seconds(1));
            CHECK(world.violation() == "");
            CHECK(world.longestHold() <= MaxHold);
            CHECK(world.switches() >= 5);
        }
    }
}

TEST_CASE("a switch has taken effect once its step has begun, whether a report or a reading of counters shows it")
{
    constexpr std::uint64_t Epoch = 1;
    SteadyTime now{Seconds(100)};
    OrderTokens tokens(1);
    MapSwitch mapSwitch(1, Epoch, tokens);
    RankState state;
    state.epoch = Epoch;
    state.isOpen = true;
    const auto acceptAll = [&] {
        for (const auto &order : mapSwitch.takeOrders(now)) {
            mapSwitch.onAnswer(order, OrderAnswer::Accepted, now);
        }
    };
    acceptAll();
    now += Seconds(1);
    mapSwitch.onReports({state}, now);
    mapSwitch.begin(std::make_shared<ExpertMap>(GroupShape{1, 1, 1}), Milliseconds(0), 1, now);
    acceptAll();
    mapSwitch.onReport(0, state, now);
    for (int i = 0; i < 3; ++i) {
        acceptAll();
    }
    REQUIRE(mapSwitch.phase() == SwitchPhase::Idle);
    REQUIRE(mapSwitch.switchCount() == 1);
    CHECK_FALSE(mapSwitch.hasTakenEffect());
    mapSwitch.recordBegunStep(mapSwitch.step() - 1);
    CHECK_FALSE(mapSwitch.hasTakenEffect());
    mapSwitch.recordBegunStep(mapSwitch.step());
    CHECK(mapSwitch.hasTakenEffect());
}

TEST_CASE("a group whose one rank has hung for a second is measured in one go until it may switch again")
{
    constexpr std::size_t Ranks = 2;
    constexpr Milliseconds Quick{2};
    SteadyTime now{Seconds(100)};
    OrderTokens tokens(1);
    MapSwitch mapSwitch(Ranks, 1, tokens);
    RankState state;
    state.epoch = 1;
    state.isOpen = true;
    const auto answerAll = [&](Milliseconds last) {
        const auto orders = mapSwitch.takeOrders(now);
        now += Quick;
        for (const auto &order : orders) {
            if (order.rank + 1 == Ranks) {
                now += last - Quick;
            }
            mapSwitch.onAnswer(order, OrderAnswer::Accepted, now);
        }
    };
    const auto finishInspection = [&] {
        now += Seconds(1);
        mapSwitch.onReports({state, state}, now);
    };
    for (int i = 0; i < 20; ++i) {
        mapSwitch.measureAnswers(now);
        answerAll(Quick);
    }
    finishInspection();
    REQUIRE(mapSwitch.phase() == SwitchPhase::Idle);
    REQUIRE(mapSwitch.canHold());
    mapSwitch.measureAnswers(now);
    answerAll(Milliseconds(1300));
    CHECK_FALSE(mapSwitch.canHold());

    for (int i = 0; i < 6 && mapSwitch.phase() == SwitchPhase::Fencing; ++i) {
        answerAll(Quick);
    }
    CHECK(mapSwitch.canHold());
    CHECK(mapSwitch.phase() == SwitchPhase::Inspecting);
    finishInspection();
    CHECK(mapSwitch.phase() == SwitchPhase::Idle);
}

TEST_CASE("a switch that an earlier coordinator has completed is not undone before its step begins")
{
    constexpr std::size_t Ranks = 3;
    constexpr std::uint64_t Epoch = 1;
    SteadyTime now{Seconds(100)};
    OrderTokens tokens(2);
    MapSwitch mapSwitch(Ranks, Epoch, tokens);
    for (const auto &order : mapSwitch.takeOrders(now)) {
        mapSwitch.onAnswer(order, OrderAnswer::Accepted, now);
    }
    RankState state;
    state.epoch = Epoch;
    state.isOpen = true;
    state.armed = ArmedMap{7, 120};
    now += Seconds(1);
    mapSwitch.onReports(std::vector<std::optional<RankState>>(Ranks, state), now);
    CHECK(mapSwitch.phase() == SwitchPhase::Inspecting);
    CHECK(mapSwitch.takeOrders(now).empty());

    state.armed.reset();
    state.step = 120;
    now += Seconds(1);
    REQUIRE(mapSwitch.reportNeed(now) == ReportNeed::AllRanks);
    mapSwitch.onReports(std::vector<std::optional<RankState>>(Ranks, state), now);
    CHECK(mapSwitch.phase() == SwitchPhase::Idle);
}

TEST_CASE("a map is sent to a limited number of ranks concurrently, and one report ends the wait for the copies")
{
    constexpr std::size_t Ranks = 96;
    constexpr std::size_t MaxConcurrentMaps = 7;
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
    mapSwitch.begin(map, Milliseconds(30), MaxConcurrentMaps, now);
    auto inFlight = mapSwitch.takeOrders(now);
    CHECK(inFlight.size() == MaxConcurrentMaps);
    std::size_t sent = inFlight.size();
    while (!inFlight.empty()) {
        mapSwitch.onAnswer(inFlight.back(), OrderAnswer::Accepted, now);
        inFlight.pop_back();
        const auto next = mapSwitch.takeOrders(now);
        REQUIRE(next.size() <= 1);
        sent += next.size();
        inFlight.insert(inFlight.end(), next.begin(), next.end());
        REQUIRE(inFlight.size() <= MaxConcurrentMaps);
    }
    CHECK(sent == Ranks);
    CHECK(mapSwitch.reportNeed(now) == ReportNeed::None);
    now += Milliseconds(30);
    CHECK(mapSwitch.reportNeed(now) == ReportNeed::AnyRank);
    state.step = 5;
    mapSwitch.onReport(Ranks - 1, state, now);
    CHECK(mapSwitch.phase() == SwitchPhase::Holding);
    CHECK(mapSwitch.step() > state.step);
}

TEST_CASE("the simulation detects an engine that accepts orders with old tokens")
{
    SwitchSimulationFaults faults;
    faults.engineIgnoresTokens = true;
    CHECK(findsViolation(faults));
}

TEST_CASE("the simulation detects a coordinator that treats an order without an answer as accepted")
{
    SwitchSimulationFaults faults;
    faults.lostIsAccepted = true;
    CHECK(findsViolation(faults));
}
