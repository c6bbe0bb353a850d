#include "support/executionworld.h"

#include <iomanip>
#include <iostream>
#include <optional>
#include <string>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace Cardamomhill
{

namespace
{

rc::Gen<Fault> arbitraryFault()
{
    return rc::gen::build<Fault>(rc::gen::set(&Fault::kind,
                                              rc::gen::element(FaultKind::Handover,
                                                               FaultKind::Handover,
                                                               FaultKind::Crash,
                                                               FaultKind::Retire,
                                                               FaultKind::Pause,
                                                               FaultKind::ClockStep,
                                                               FaultKind::PlatformOutage,
                                                               FaultKind::LostWriteResponses,
                                                               FaultKind::EngineFailure,
                                                               FaultKind::Network)),
                                 rc::gen::set(&Fault::atMs, rc::gen::inRange(4'000, 50'000)),
                                 rc::gen::set(&Fault::agent, rc::gen::inRange(0, 3)),
                                 rc::gen::set(&Fault::amount, rc::gen::inRange(0, 1'001)),
                                 rc::gen::set(&Fault::twice, rc::gen::arbitrary<bool>()));
}

rc::Gen<Schedule> arbitrarySchedule()
{
    return rc::gen::build<Schedule>(
        rc::gen::set(&Schedule::seed, rc::gen::inRange<std::uint64_t>(1, 1'000'000'000)),
        rc::gen::set(&Schedule::smallRegistry, rc::gen::arbitrary<bool>()),
        rc::gen::set(&Schedule::faults, rc::gen::mapcat(rc::gen::inRange<std::size_t>(1, 9), [](std::size_t count) {
            return rc::gen::container<std::vector<Fault>>(count, arbitraryFault());
        })));
}

/// Runs drawn schedules with a seeded fault until the checker reports `violation`, and returns how many it took; 0 if
/// none of 1,500 did.
int schedulesUntilFound(const SeededFault &seeded, const std::string &violation)
{
    rc::Random random(20261204);
    for (int schedule = 1; schedule <= 1'500; ++schedule) {
        ExecutionWorld world(arbitrarySchedule()(random.split(), 100).value(), seeded);
        world.run();
        if (world.violations().contains(violation)) {
            return schedule;
        }
    }
    return 0;
}

void checkFound(const char *name, const SeededFault &seeded, const std::string &violation)
{
    const int schedules = schedulesUntilFound(seeded, violation);
    INFO(std::string(name));
    CHECK(schedules > 0);
    std::cout << "seeded fault: " << name << ": \"" << violation << "\" found in schedule " << schedules << "\n";
}

struct FailureCase {
    std::string name;
    std::optional<FaultKind> kind;
    bool twice = false;
    bool duringHandover = false;
};

/// Prints how the requests of 20 schedules ended that have only this failure.
void printOutcomes(const FailureCase &failureCase)
{
    RequestCounts sum;
    for (int seed = 1; seed <= 20; ++seed) {
        Schedule schedule{static_cast<std::uint64_t>(seed), false, {}};
        if (failureCase.duringHandover) {
            schedule.faults.push_back({FaultKind::Handover, 20'000 - 5 * seed, seed % 3, seed, false});
        }
        if (failureCase.kind) {
            schedule.faults.push_back({*failureCase.kind, 20'000, seed % 3, 50 * seed, failureCase.twice});
        }
        ExecutionWorld world(schedule, SeededFault{});
        world.run();
        CHECK(world.violations().empty());
        sum += world.counts();
    }
    const int indefinite = sum.unknown + sum.rejected + sum.noAnswer;
    std::cout << std::left << std::setw(38) << failureCase.name << std::right;
    for (const int value : {sum.requests, sum.completed, sum.notRun, sum.unknown, sum.rejected, sum.noAnswer}) {
        std::cout << std::setw(11) << value;
    }
    std::cout << std::setw(10) << std::fixed << std::setprecision(1) << 100.0 * indefinite / sum.requests << "%\n";
    CHECK(sum.completed > 0);
}

} // namespace

TEST_CASE("no schedule of failures makes a key run twice, breaks a not-run answer or gives a slot two owners")
{
    std::size_t schedules = 0;
    RequestCounts total;
    CHECK(rc::check("execution over handovers, crashes, pauses, outages and clock steps", [&] {
        const Schedule schedule = *arbitrarySchedule();
        ExecutionWorld world(schedule, SeededFault{});
        world.run();
        ++schedules;
        total += world.counts();
        RC_ASSERT(world.violations() == std::set<std::string>{});
    }));
    std::cout << "schedules " << schedules << ", requests " << total.requests << ", completed " << total.completed
              << "\n";
}

TEST_CASE("the checker finds seeded faults")
{
    const std::string twice = "a key was executed twice";
    const std::string twoOwners = "a slot was served by two owners";
    checkFound("D = 0 although clocks differ by up to 1 s", {.registryClockDifference = Milliseconds(0)}, twice);
    checkFound("D = 500 ms although clocks differ by up to 1 s", {.registryClockDifference = Milliseconds(500)}, twice);
    checkFound("restarted owner serves from an old table", {.servesFromOldTable = true}, twoOwners);
    checkFound("transfer loses a record", {.transferLosesRecord = true}, twice);
    checkFound("platform ignores the version of a write", {.unconditionalWrites = true}, twoOwners);
    checkFound("operator retires a running server", {.retiresRunningServer = true}, twoOwners);
}

TEST_CASE("requests without definite outcome, for each kind of failure")
{
    std::cout << std::left << std::setw(38) << "failure" << std::right;
    for (const char *column : {"requests", "completed", "not-run", "unknown", "rejected", "no answer", "indefinite"}) {
        std::cout << std::setw(11) << column;
    }
    std::cout << "\n";
    printOutcomes({"none", std::nullopt});
    for (const auto &[kind, kindName] : nameTable(FaultKind{})) {
        const std::string name(kindName);
        printOutcomes({name, kind});
        printOutcomes({name + ", twice", kind, true});
        printOutcomes({name + ", during handover", kind, false, true});
        printOutcomes({name + ", twice, during handover", kind, true, true});
    }
}

} // namespace Cardamomhill
