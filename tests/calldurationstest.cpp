#include "traffic/calldurations.h"

#include <doctest/doctest.h>

using namespace Cardamomhill;

TEST_CASE("one call that took very long does not count as usual, and old calls are forgotten")
{
    CallDurations durations;
    CHECK_FALSE(durations.usual().has_value());
    durations.record(Seconds(2));
    CHECK(durations.usual() == Microseconds(Seconds(2)));
    durations.record(Milliseconds(100));
    CHECK(durations.usual() == Microseconds(Seconds(2)));
    for (int call = 0; call < 20; ++call) {
        durations.record(Milliseconds(100));
    }
    CHECK(durations.usual() == Microseconds(Milliseconds(100)));
    for (int call = 0; call < 64; ++call) {
        durations.record(Milliseconds(call < 32 ? 200 : 700));
    }
    CHECK(durations.usual() == Microseconds(Milliseconds(700)));
}
