#include "support/groupsimulation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace rc
{

template<>
struct Arbitrary<Cardamomhill::GroupFault> {
    static Gen<Cardamomhill::GroupFault> arbitrary()
    {
        using Cardamomhill::GroupFault;
        return gen::build<GroupFault>(
            gen::set(&GroupFault::kind,
                     gen::weightedElement<int>({{8, 0}, {8, 1}, {6, 2}, {1, 3}, {6, 4}, {30, 5}, {1, 6}})),
            gen::set(&GroupFault::atMs, gen::inRange(0, 8000)),
            gen::set(&GroupFault::rank, gen::inRange(0, 8)),
            gen::set(&GroupFault::amount, gen::inRange(0, 400)),
            gen::set(&GroupFault::twice));
    }
};

} // namespace rc

namespace Cardamomhill
{

std::ostream &operator<<(std::ostream &stream, const GroupFault &fault)
{
    return stream << "{kind " << fault.kind << ", at " << fault.atMs << " ms, rank " << fault.rank << ", amount "
                  << fault.amount << (fault.twice ? ", twice}" : "}");
}

namespace
{

GroupSimulationOptions faultyNetwork(std::uint32_t ranks, std::uint64_t seed)
{
    GroupSimulationOptions options;
    options.rankCount = ranks;
    options.seed = seed;
    options.jitter = Milliseconds(20);
    options.lossPercent = 10;
    options.duplicatePercent = 10;
    return options;
}

/// Counts what a set of runs exercised. Printed and checked, since runs in which nothing happens would also pass.
struct Coverage {
    std::uint64_t commits = 0;
    std::uint64_t aborts = 0;
    std::uint64_t takeoverCommits = 0;
    std::uint64_t takeoverAborts = 0;
    std::uint64_t runsWithExcludedRank = 0;
};

/// Injects the faults, ends them and checks that the group can switch again. Returns the violation, or nothing.
std::string
runScenario(const GroupSimulationOptions &options, const std::vector<GroupFault> &faults, Coverage *coverage = nullptr)
{
    GroupSimulation simulation(options);
    Microseconds faultTime = Seconds(9);
    for (const GroupFault &fault : faults) {
        simulation.schedule(fault);
        if (fault.kind == static_cast<int>(GroupFaultKind::LongPause)) {
            faultTime = Seconds(39);
        }
    }
    simulation.runFor(faultTime);
    simulation.stopFaults();
    simulation.runFor(Seconds(10));
    if (simulation.anyRankIsExcluded()) {
        if (coverage) {
            ++coverage->runsWithExcludedRank;
        }
        simulation.reformGroup();
        simulation.runFor(Seconds(1));
    }
    const std::uint64_t steps = simulation.stepsStarted();
    const ExpertMapId last{simulation.newestVersion() + 1, 0};
    constexpr int attempts = 5;
    for (int attempt = 0; attempt < attempts && !simulation.allRanksHave(last); ++attempt) {
        simulation.propose(0, last);
        simulation.runFor(Seconds(1));
    }
    if (coverage) {
        coverage->commits += simulation.commits;
        coverage->aborts += simulation.aborts;
        coverage->takeoverCommits += simulation.takeoverCommits;
        coverage->takeoverAborts += simulation.takeoverAborts;
    }
    if (simulation.violation.empty() && !simulation.allRanksHave(last)) {
        return "no switch after the faults ended";
    }
    if (simulation.violation.empty() && simulation.stepsStarted() < steps + 20) {
        return "the group starts no further steps";
    }
    return simulation.violation;
}

std::vector<GroupFault> drawFaults(Random &random)
{
    std::vector<GroupFault> faults(12);
    for (GroupFault &fault : faults) {
        const auto draw = [&random](std::uint64_t limit) { return static_cast<int>(random() % limit); };
        constexpr std::array kinds{0, 1, 2, 4, 5, 5, 5};
        fault = {kinds[static_cast<std::size_t>(draw(kinds.size()))], draw(3000), draw(8), draw(400), draw(2) == 1};
    }
    return faults;
}

/// The first violation that the checker finds with this injected fault, or nothing.
std::string firstViolation(const std::function<void(GroupSimulationOptions &)> &injectFault)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        Random random(seed);
        GroupSimulationOptions options = faultyNetwork(3, seed);
        injectFault(options);
        std::string violation = runScenario(options, drawFaults(random));
        if (!violation.empty() && violation.find("no switch") == std::string::npos) {
            MESSAGE("found after ", seed, " runs: ", violation);
            return violation;
        }
    }
    return {};
}

} // namespace

TEST_CASE("the checker finds a participant that loses its promise on restart but still answers")
{
    CHECK_FALSE(firstViolation([](GroupSimulationOptions &options) { options.losesRecordOnRestart = true; }).empty());
}

TEST_CASE("the checker finds a commit after only a majority has accepted")
{
    CHECK_FALSE(firstViolation([](GroupSimulationOptions &options) { options.commitsOnMajority = true; }).empty());
}

TEST_CASE("the checker finds an engine that applies delayed orders")
{
    CHECK_FALSE(firstViolation([](GroupSimulationOptions &options) {
                    options.engineChecksFencingToken = false;
                    options.engineAppliesLateOrders = true;
                }).empty());
}

TEST_CASE("messages are decoded as encoded, and truncated ones are rejected")
{
    const Proposal proposal{{7, 3}, {2, 99}, 41};
    const std::vector<GroupMessageBody> bodies{StageRequest{{2, 99}},
                                               Staged{{2, 99}},
                                               PromiseRequest{{7, 3}},
                                               Promised{{7, 3}, 5, 40, {1, 1}, proposal, Resolution{proposal}},
                                               PrepareRequest{5, proposal},
                                               Accepted{{7, 3}},
                                               Refused{{7, 3}, RefusalReason::TooLate, {8, 1}},
                                               ResolveRequest{{7, 3}, {proposal, SwitchOutcome::Commit}},
                                               Resolved{{7, 3}, {6, 2}}};
    for (const GroupMessageBody &body : bodies) {
        const GroupMessage message{GroupId("g"), 4, 1, 2, body};
        const std::string packed = packGroupMessage(message);
        CHECK(unpackGroupMessage(packed).value() == message);
        for (std::size_t length = 0; length < packed.size(); ++length) {
            CHECK_FALSE(unpackGroupMessage(packed.substr(0, length)).has_value());
        }
        std::string otherVersion = packed;
        otherVersion[1] = 2;
        CHECK(unpackGroupMessage(otherVersion).error().code == GroupErrorCode::UnknownVersion);
    }
    CHECK(rc::check("a message with a changed byte is rejected or exactly well-formed", [&bodies] {
        std::string packed = packGroupMessage({GroupId("g"), 4, 1, 2, *rc::gen::elementOf(bodies)});
        packed[*rc::gen::inRange<std::size_t>(0, packed.size())] = *rc::gen::arbitrary<char>();
        const auto message = unpackGroupMessage(packed);
        const bool isExact = !message || packGroupMessage(message.value()) == packed;
        RC_ASSERT(isExact);
    }));
}

TEST_CASE("a coordinator takes over during its own staging, so ranks do not wait minutes for it")
{
    Random random(1);
    const SteadyTime now{Seconds(1)};
    CoordinatorOptions options;
    options.rankCount = 1;
    SwitchCoordinator coordinator(GroupId("g"), options, random);
    coordinator.onIncarnation(1);
    REQUIRE(coordinator.propose({2, 2}, now));
    REQUIRE(coordinator.takeOver(now));
    const Ballot ballot = std::get<PromiseRequest>(coordinator.takeMessages().back().body).ballot;
    const Proposal found{{1, 1}, {2, 9}, 50};
    coordinator.onMessage({GroupId("g"), 1, 0, 0, Promised{ballot, 1, 10, {1, 1}, found, {}}}, now);
    const auto request = std::get<ResolveRequest>(coordinator.takeMessages().back().body);
    CHECK(request.resolution == Resolution{found, SwitchOutcome::Commit});
    coordinator.onMessage({GroupId("g"), 1, 0, 0, Resolved{ballot, found.ballot}}, now);
    CHECK(std::get<StageRequest>(coordinator.takeMessages().back().body).map == ExpertMapId{2, 2});
}

TEST_CASE("all ranks use the same map in each step under any faults")
{
    Coverage coverage;
    const auto property = [&coverage](bool checksFencingToken, bool keepsRecord) {
        const auto ranks = *rc::gen::inRange<std::uint32_t>(2, 9);
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto faults = *rc::gen::resize(80, rc::gen::arbitrary<std::vector<GroupFault>>());
        GroupSimulationOptions options = faultyNetwork(ranks, seed);
        options.engineChecksFencingToken = checksFencingToken;
        options.engineKeepsRecord = keepsRecord;
        RC_ASSERT(runScenario(options, faults, &coverage) == std::string());
    };
    CHECK(rc::check("engines that refuse old fencing tokens", [&] { property(true, true); }));
    CHECK(rc::check("engines that ignore fencing tokens and receive delayed orders", [&] { property(false, true); }));
    CHECK(rc::check("engines that store no record", [&] { property(true, false); }));
    MESSAGE("commits ",
            coverage.commits,
            ", aborts ",
            coverage.aborts,
            ", takeovers that committed ",
            coverage.takeoverCommits,
            ", that aborted ",
            coverage.takeoverAborts,
            ", runs with an excluded rank ",
            coverage.runsWithExcludedRank);
    // Each run commits once after the faults have ended; the other commits occurred during the faults.
    CHECK(coverage.commits > 600);
    CHECK(coverage.aborts > 100);
    CHECK(coverage.takeoverCommits > 20);
    CHECK(coverage.takeoverAborts > 20);
}

} // namespace Cardamomhill
