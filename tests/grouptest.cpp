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
    options.ranks = ranks;
    options.seed = seed;
    options.jitter = Milliseconds(20);
    options.lossPercent = 10;
    options.duplicatePercent = 10;
    return options;
}

/// What a set of runs has exercised; printed, so that a checker that sees nothing happen is noticed.
struct Coverage {
    std::uint64_t commits = 0;
    std::uint64_t aborts = 0;
    std::uint64_t takeoverCommits = 0;
    std::uint64_t takeoverAborts = 0;
    std::uint64_t runsWithRankOut = 0;
};

/// Runs the faults, then ends them and waits until the group can switch again. Empty when nothing was wrong.
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
    if (simulation.anyRankIsOut()) {
        if (coverage) {
            ++coverage->runsWithRankOut;
        }
        simulation.formAgain();
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
        return "no switch after the failures have ended";
    }
    if (simulation.violation.empty() && simulation.stepsStarted() < steps + 20) {
        return "the group does not step on";
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

/// The first violation that the checker finds with this seeded fault, or nothing.
std::string firstViolation(const std::function<void(GroupSimulationOptions &)> &seedFault)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        Random random(seed);
        GroupSimulationOptions options = faultyNetwork(3, seed);
        seedFault(options);
        std::string violation = runScenario(options, drawFaults(random));
        if (!violation.empty() && violation.find("no switch") == std::string::npos) {
            MESSAGE("found after ", seed, " runs: ", violation);
            return violation;
        }
    }
    return {};
}

} // namespace

TEST_CASE("the checker finds a participant that forgets its promise on restart and answers all the same")
{
    CHECK_FALSE(firstViolation([](GroupSimulationOptions &options) { options.forgetOnRestart = true; }).empty());
}

TEST_CASE("the checker finds a commit after a majority has accepted")
{
    CHECK_FALSE(firstViolation([](GroupSimulationOptions &options) { options.majorityIsEnough = true; }).empty());
}

TEST_CASE("the checker finds an engine that obeys late orders")
{
    CHECK_FALSE(firstViolation([](GroupSimulationOptions &options) {
                    options.engineChecksFence = false;
                    options.engineObeysLateOrders = true;
                }).empty());
}

TEST_CASE("messages survive packing, and damaged ones are refused instead of read as something else")
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
    CHECK(rc::check("any changed byte gives an error or another well-formed message", [&bodies] {
        std::string packed = packGroupMessage({GroupId("g"), 4, 1, 2, *rc::gen::elementOf(bodies)});
        packed[*rc::gen::inRange<std::size_t>(0, packed.size())] = *rc::gen::arbitrary<char>();
        const auto message = unpackGroupMessage(packed);
        const bool isExact = !message || packGroupMessage(message.value()) == packed;
        RC_ASSERT(isExact);
    }));
}

TEST_CASE("a coordinator that stages for minutes still takes over, so ranks do not wait for its staging")
{
    Random random(1);
    const SteadyTime now{Seconds(1)};
    CoordinatorOptions options;
    options.ranks = 1;
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

TEST_CASE("all ranks use one map in every step, whatever fails")
{
    Coverage coverage;
    const auto property = [&coverage](bool checksFence, bool keepsRecord) {
        const auto ranks = *rc::gen::inRange<std::uint32_t>(2, 9);
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto faults = *rc::gen::resize(80, rc::gen::arbitrary<std::vector<GroupFault>>());
        GroupSimulationOptions options = faultyNetwork(ranks, seed);
        options.engineChecksFence = checksFence;
        options.engineKeepsRecord = keepsRecord;
        RC_ASSERT(runScenario(options, faults, &coverage) == std::string());
    };
    CHECK(rc::check("engines that refuse old fencing numbers", [&] { property(true, true); }));
    CHECK(rc::check("engines that ignore fencing numbers and get late orders", [&] { property(false, true); }));
    CHECK(rc::check("engines that keep no record", [&] { property(true, false); }));
    MESSAGE("commits ",
            coverage.commits,
            ", aborts ",
            coverage.aborts,
            ", takeovers that committed ",
            coverage.takeoverCommits,
            ", that aborted ",
            coverage.takeoverAborts,
            ", runs with a rank out ",
            coverage.runsWithRankOut);
    // A run commits once after the failures; the rest happened while they lasted.
    CHECK(coverage.commits > 600);
    CHECK(coverage.aborts > 100);
    CHECK(coverage.takeoverCommits > 20);
    CHECK(coverage.takeoverAborts > 20);
}

} // namespace Cardamomhill
