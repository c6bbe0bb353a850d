#include "traffic/streampatience.h"
#include "traffic/route.h"

#include <doctest/doctest.h>

using namespace Cardamomhill;

TEST_CASE("a stream without events is moved well before its caller gives up")
{
    const auto patience = patienceWith(Route());
    // Callers give up after two seconds.
    CHECK(patience.silentStream < Milliseconds(1500));
    CHECK(patience.stalledGroup < patience.silentStream);
    CHECK(patience.stalledGroup >= Milliseconds(500));
}

TEST_CASE("a slow but healthy stream is not taken for a stalled one")
{
    Route route;
    route.pauseObjective = Milliseconds(1400);
    CHECK(patienceWith(route).stalledGroup > route.pauseObjective);
    CHECK(patienceWith(route).silentStream > 2 * route.pauseObjective);
    Route lateStart;
    lateStart.latencyObjective = Seconds(5);
    CHECK(patienceWith(lateStart).stalledGroup > lateStart.latencyObjective);
}
