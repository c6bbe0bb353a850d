#include "rebalance/countschedule.h"
#include "rebalance/expertload.h"

#include <doctest/doctest.h>

using namespace Cardamomhill;

namespace
{

const SteadyTime Start{Seconds(100)};
constexpr double Busy = 1;
constexpr double Idle = 0;
const auto Busily = CountScheduleOptions().busyInterval;

} // namespace

TEST_CASE("choices are read at intervals, less often while the group has little to do")
{
    CountSchedule schedule;
    CHECK(schedule.due(Start, Busy) == CountReading::Regular);
    schedule.done(CountReading::Regular, Start, Busy);
    // The first reading is the base of the second.
    const auto second = Start + Busily / 2;
    CHECK(schedule.due(second, Busy) == CountReading::Regular);
    schedule.done(CountReading::Regular, second, Busy);
    CHECK(schedule.due(second + Busily - Milliseconds(100), Busy) == CountReading::None);
    CHECK(schedule.due(second + Busily, Busy) == CountReading::Regular);
    schedule.done(CountReading::Regular, second, Idle);
    CHECK(schedule.due(second + Milliseconds(2900), Idle) == CountReading::None);
}

TEST_CASE("steps that turn slow open one short window at once")
{
    CountSchedule schedule;
    schedule.done(CountReading::Regular, Start, Busy);
    schedule.stepsTurnedSlow();
    CHECK(schedule.due(Start + Milliseconds(10), Idle) == CountReading::None);
    CHECK(schedule.due(Start + Milliseconds(10), Busy) == CountReading::WindowStart);
    schedule.done(CountReading::WindowStart, Start + Milliseconds(10), Busy);
    schedule.stepsTurnedSlow();
    CHECK(schedule.due(Start + Milliseconds(100), Busy) == CountReading::None);
    CHECK(schedule.due(Start + Milliseconds(160), Busy) == CountReading::WindowEnd);
    schedule.done(CountReading::WindowEnd, Start + Milliseconds(160), Busy);
    CHECK(schedule.due(Start + Milliseconds(600), Busy) == CountReading::None);
    CHECK(schedule.due(Start + Milliseconds(660), Busy) == CountReading::WindowStart);
}

TEST_CASE("choices of a window replace what was known")
{
    constexpr std::size_t Rank = 0;
    ExpertLoad load;
    load.take(Rank, {0, 0});
    CHECK_FALSE(load.fold(0.5));
    load.take(Rank, {4000, 0});
    CHECK(load.fold(0.5));
    // Choices up to the start of the window are left out.
    load.take(Rank, {9000, 0});
    load.dropRound();
    load.take(Rank, {9000, 3000});
    CHECK(load.fold(1));
    CHECK(load.load() == std::vector<double>{0, 3000});
}
