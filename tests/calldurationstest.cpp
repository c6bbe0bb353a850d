#include "traffic/calldurations.h"

#include <doctest/doctest.h>

using namespace Cardamomhill;

namespace
{

constexpr auto Answered = CallDurations::End::Answered;
constexpr auto Unfinished = CallDurations::End::Unfinished;

} // namespace

TEST_CASE("one call that took very long does not count as usual, and old calls are forgotten")
{
    CallDurations durations;
    CHECK_FALSE(durations.usual().has_value());
    durations.record(Seconds(2), Answered);
    CHECK(durations.usual() == Microseconds(Seconds(2)));
    durations.record(Milliseconds(100), Answered);
    CHECK(durations.usual() == Microseconds(Seconds(2)));
    for (int call = 0; call < 20; ++call) {
        durations.record(Milliseconds(100), Answered);
    }
    CHECK(durations.usual() == Microseconds(Milliseconds(100)));
    for (int call = 0; call < 64; ++call) {
        durations.record(Milliseconds(call < 32 ? 200 : 700), Answered);
    }
    CHECK(durations.usual() == Microseconds(Milliseconds(700)));
}

TEST_CASE("calls that end without an answer count only if they lasted longer than calls usually do")
{
    CallDurations durations;
    durations.record(Milliseconds(1), Unfinished);
    CHECK_FALSE(durations.usual().has_value());
    durations.record(Seconds(2), Answered);
    for (int call = 0; call < 20; ++call) {
        durations.record(Milliseconds(1), Unfinished);
    }
    CHECK(durations.usual() == Microseconds(Seconds(2)));
    durations.record(Seconds(5), Unfinished);
    CHECK(durations.usual() == Microseconds(Seconds(5)));
}
