#include "traffic/calldurations.h"

#include <doctest/doctest.h>

using namespace Cardamomhill;

namespace
{

constexpr auto Answered = CallDurations::End::Answered;
constexpr auto Unfinished = CallDurations::End::Unfinished;
constexpr Microseconds Limit = Seconds(8);
constexpr Microseconds NoneRunning{0};
constexpr SteadyTime Now{Seconds(100)};

void recordMany(CallDurations &durations, int count, Microseconds duration)
{
    for (int call = 0; call < count; ++call) {
        durations.record(duration, Answered, Now);
    }
}

} // namespace

TEST_CASE("the longest of the latest calls counts, and old calls are forgotten")
{
    CallDurations durations;
    CHECK_FALSE(durations.longest().has_value());
    durations.record(Seconds(2), Answered, Now);
    CHECK(durations.longest() == Microseconds(Seconds(2)));
    recordMany(durations, 447, Milliseconds(100));
    CHECK(durations.longest() == Microseconds(Seconds(2)));
    recordMany(durations, 65, Milliseconds(100));
    CHECK(durations.longest() == Microseconds(Milliseconds(100)));
}

TEST_CASE("calls that end without an answer count only if they lasted longer than all others")
{
    CallDurations durations;
    durations.record(Milliseconds(1), Unfinished, Now);
    CHECK_FALSE(durations.longest().has_value());
    durations.record(Seconds(2), Answered, Now);
    for (int call = 0; call < 600; ++call) {
        durations.record(Milliseconds(1), Unfinished, Now);
    }
    CHECK(durations.longest() == Microseconds(Seconds(2)));
    durations.record(Seconds(5), Unfinished, Now);
    CHECK(durations.longest() == Microseconds(Seconds(5)));
}

TEST_CASE("how long calls may take is not known from a few, and exceeds all that ended or run by a quarter")
{
    constexpr auto Later = Now + Seconds(60);
    CallDurations durations;
    recordMany(durations, 63, Seconds(2));
    CHECK_FALSE(durations.expected(Limit, NoneRunning, Later).has_value());
    CHECK_FALSE(durations.expected(Limit, Seconds(9), Later).has_value());
    durations.record(Seconds(1), Answered, Later);
    CHECK(durations.expected(Limit, NoneRunning, Later) == Microseconds(Milliseconds(2500)));
    // Calls that began when the load rose have not ended yet.
    CHECK(durations.expected(Limit, Seconds(4), Later) == Microseconds(Seconds(5)));
}

TEST_CASE("how long calls may take is not known before those that began first have all ended")
{
    CallDurations durations;
    recordMany(durations, 100, Seconds(2));
    constexpr auto FirstBegan = Now - Seconds(2);
    CHECK_FALSE(durations.expected(Limit, NoneRunning, FirstBegan + 2 * Limit - Microseconds(1)).has_value());
    CHECK(durations.expected(Limit, NoneRunning, FirstBegan + 2 * Limit).has_value());
}
