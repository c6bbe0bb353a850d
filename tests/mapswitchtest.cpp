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
