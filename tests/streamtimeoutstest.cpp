#include "traffic/streamtimeouts.h"
#include "traffic/route.h"

#include <doctest/doctest.h>

using namespace Cardamomhill;

TEST_CASE("a stream without events is moved well before its caller gives up")
{
    const auto timeouts = streamTimeoutsFor(Route());
    // Callers give up after two seconds.
    CHECK(timeouts.stalledStreamTimeout < Milliseconds(1500));
    CHECK(timeouts.stalledGroupTimeout < timeouts.stalledStreamTimeout);
    CHECK(timeouts.stalledGroupTimeout >= Milliseconds(500));
}

TEST_CASE("a slow but healthy stream is not taken for a stalled one")
{
    Route route;
    route.pauseObjective = Milliseconds(1400);
    CHECK(streamTimeoutsFor(route).stalledGroupTimeout > route.pauseObjective);
    CHECK(streamTimeoutsFor(route).stalledStreamTimeout > 2 * route.pauseObjective);
    Route lateStart;
    lateStart.latencyObjective = Seconds(5);
    CHECK(streamTimeoutsFor(lateStart).stalledGroupTimeout > lateStart.latencyObjective);
}
