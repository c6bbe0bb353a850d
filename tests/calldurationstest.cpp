#include "traffic/calldurations.h"

#include <doctest/doctest.h>

using namespace Cardamomhill;

namespace
{

constexpr auto Answered = CallDurations::End::Answered;
constexpr auto Unfinished = CallDurations::End::Unfinished;
constexpr Microseconds NoneRunning{0};

void recordMany(CallDurations &durations, int count, Microseconds duration)
{
    for (int call = 0; call < count; ++call) {
        durations.record(duration, Answered);
    }
}

} // namespace

TEST_CASE("the longest of the latest calls counts, and old calls are forgotten")
{
    CallDurations durations;
    CHECK_FALSE(durations.longest().has_value());
    durations.record(Seconds(2), Answered);
    CHECK(durations.longest() == Microseconds(Seconds(2)));
    recordMany(durations, 447, Milliseconds(100));
    CHECK(durations.longest() == Microseconds(Seconds(2)));
    recordMany(durations, 65, Milliseconds(100));
    CHECK(durations.longest() == Microseconds(Milliseconds(100)));
}

TEST_CASE("calls that end without an answer count only if they lasted longer than all others")
{
    CallDurations durations;
    durations.record(Milliseconds(1), Unfinished);
    CHECK_FALSE(durations.longest().has_value());
    durations.record(Seconds(2), Answered);
    for (int call = 0; call < 600; ++call) {
        durations.record(Milliseconds(1), Unfinished);
    }
    CHECK(durations.longest() == Microseconds(Seconds(2)));
    durations.record(Seconds(5), Unfinished);
    CHECK(durations.longest() == Microseconds(Seconds(5)));
}

TEST_CASE("how long calls may take is not known from a few, and exceeds all that ended or run by a quarter")
{
    CallDurations durations;
    recordMany(durations, 63, Seconds(2));
    CHECK_FALSE(durations.expected(NoneRunning).has_value());
    CHECK_FALSE(durations.expected(Seconds(9)).has_value());
    durations.record(Seconds(1), Answered);
    CHECK(durations.expected(NoneRunning) == Microseconds(Milliseconds(2500)));
    // Calls that began when the load rose have not ended yet.
    CHECK(durations.expected(Seconds(4)) == Microseconds(Seconds(5)));
}
