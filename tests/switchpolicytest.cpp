#include "rebalance/switchpolicy.h"
#include "placement/groupshape.h"
#include "traffic/engineprofile.h"

#include <doctest/doctest.h>

using namespace Cardamomhill;

namespace
{

SwitchPolicy policyAt(double utilisation)
{
    SwitchPolicy policy;
    for (int i = 0; i < 20; ++i) {
        policy.observeUtilisation(utilisation);
    }
    return policy;
}

SwitchPlan plan(double skewBefore, double skewAfter)
{
    return {ExpertMap(GroupShape{2, 1, 2}), 0, 0, skewBefore, skewAfter};
}

} // namespace

TEST_CASE("a busy group switches for a smaller gain than an idle one")
{
    const auto idle = policyAt(0.1);
    const auto busy = policyAt(0.9);
    CHECK(idle.pressure() == 0);
    CHECK(busy.pressure() == 1);
    const auto gainOfAQuarter = plan(2.0, 1.5);
    CHECK(busy.isWorthwhile(gainOfAQuarter));
    CHECK_FALSE(idle.isWorthwhile(gainOfAQuarter));
    CHECK(idle.isWorthwhile(plan(3.0, 1.2)));
    CHECK_FALSE(busy.isWorthwhile(plan(1.2, 1.1)));
    const EngineProfile engine;
    CHECK(idle.limits(engine, 8).gainPerCopy > busy.limits(engine, 8).gainPerCopy);
    CHECK(busy.limits(engine, 96).gainPerCopy < busy.limits(engine, 8).gainPerCopy / 10);
}

TEST_CASE("the utilisation follows the readings, and a single peak does not make a group fully busy")
{
    auto policy = policyAt(0.1);
    policy.observeUtilisation(0.7);
    CHECK(policy.utilisation() == doctest::Approx(0.4));
    CHECK(policy.pressure() < 0.7);
    CHECK(policyAt(0.7).pressure() == 1);
}

TEST_CASE("the copy time follows from the link rate with a margin, and is 0 if the rate is not known")
{
    EngineProfile engine;
    engine.expertMegabytes = 10;
    engine.linkMegabitsPerSecond = 800;
    // 4 experts of 80 Mbit over 800 Mbit/s are 400 ms.
    CHECK(SwitchPolicy::copyTime(engine, 4) >= Milliseconds(400));
    CHECK(SwitchPolicy::copyTime(engine, 4) <= Milliseconds(500));
    engine.linkMegabitsPerSecond = 0;
    CHECK(SwitchPolicy::copyTime(engine, 4) == Microseconds(0));
}

TEST_CASE("the number of sampled ranks grows with the group, within bounds")
{
    CHECK(SwitchPolicy::sampledRankCount(1) == 1);
    CHECK(SwitchPolicy::sampledRankCount(8) == 2);
    CHECK(SwitchPolicy::sampledRankCount(63) == 6);
    CHECK(SwitchPolicy::sampledRankCount(1000) == 8);
}

TEST_CASE("only a skew far above that of the known load is a shift")
{
    CHECK(SwitchPolicy::isShift(2.8, 1.1));
    CHECK_FALSE(SwitchPolicy::isShift(1.4, 1.0));
    // The map is known to be bad: nothing new has happened.
    CHECK_FALSE(SwitchPolicy::isShift(2.8, 2.7));
}

TEST_CASE("the copies of one switch fit into a third of a second, but a few are always allowed")
{
    EngineProfile engine;
    CHECK(SwitchPolicy().limits(engine, 8).copiesPerRank == 0);
    engine.expertMegabytes = 10;
    engine.linkMegabitsPerSecond = 800;
    CHECK(SwitchPolicy().limits(engine, 8).copiesPerRank == 3);
    engine.linkMegabitsPerSecond = 80;
    CHECK(SwitchPolicy().limits(engine, 8).copiesPerRank == 2);
}
