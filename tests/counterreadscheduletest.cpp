#include "rebalance/counterreadschedule.h"
#include "rebalance/expertload.h"

#include <doctest/doctest.h>

using namespace Cardamomhill;

namespace
{

const SteadyTime Start{Seconds(100)};
constexpr double Busy = 1;
constexpr double Idle = 0;
const auto BusyInterval = CounterReadScheduleOptions().busyInterval;

} // namespace

TEST_CASE("expert counters are read at intervals, less often while the group is idle")
{
    CounterReadSchedule schedule;
    CHECK(schedule.due(Start, Busy) == CounterReading::Regular);
    schedule.done(CounterReading::Regular, Start, Busy);
    // The first reading is only the base of the second.
    const auto second = Start + BusyInterval / 2;
    CHECK(schedule.due(second, Busy) == CounterReading::Regular);
    schedule.done(CounterReading::Regular, second, Busy);
    CHECK(schedule.due(second + BusyInterval - Milliseconds(100), Busy) == CounterReading::None);
    CHECK(schedule.due(second + BusyInterval, Busy) == CounterReading::Regular);
    schedule.done(CounterReading::Regular, second, Idle);
    CHECK(schedule.due(second + Milliseconds(2900), Idle) == CounterReading::None);
}

TEST_CASE("slower steps start one short window at once")
{
    // No regular reading becomes due meanwhile.
    CounterReadScheduleOptions options;
    options.busyInterval = Milliseconds(800);
    CounterReadSchedule schedule(options);
    schedule.done(CounterReading::Regular, Start, Busy);
    schedule.stepsSlowedDown();
    CHECK(schedule.due(Start + Milliseconds(10), Idle) == CounterReading::None);
    CHECK(schedule.due(Start + Milliseconds(10), Busy) == CounterReading::WindowStart);
    schedule.done(CounterReading::WindowStart, Start + Milliseconds(10), Busy);
    schedule.stepsSlowedDown();
    CHECK(schedule.due(Start + Milliseconds(100), Busy) == CounterReading::None);
    CHECK(schedule.due(Start + Milliseconds(160), Busy) == CounterReading::WindowEnd);
    schedule.done(CounterReading::WindowEnd, Start + Milliseconds(160), Busy);
    CHECK(schedule.due(Start + Milliseconds(600), Busy) == CounterReading::None);
    CHECK(schedule.due(Start + Milliseconds(660), Busy) == CounterReading::WindowStart);
}

TEST_CASE("the selections of a window replace the known load")
{
    constexpr std::size_t Rank = 0;
    ExpertLoad load;
    load.addCounters(Rank, {0, 0});
    CHECK_FALSE(load.finishRound(0.5));
    load.addCounters(Rank, {4000, 0});
    CHECK(load.finishRound(0.5));
    // Selections before the start of the window are discarded.
    load.addCounters(Rank, {9000, 0});
    load.discardRound();
    load.addCounters(Rank, {9000, 3000});
    CHECK(load.finishRound(1));
    CHECK(load.load() == std::vector<double>{0, 3000});
}

TEST_CASE("a regular reading that shows a shift becomes the start of a window")
{
    CounterReadSchedule schedule;
    schedule.done(CounterReading::Regular, Start, Busy);
    schedule.loadShifted(Start);
    CHECK(schedule.due(Start + Milliseconds(140), Busy) == CounterReading::None);
    CHECK(schedule.due(Start + Milliseconds(150), Busy) == CounterReading::WindowEnd);
    schedule.done(CounterReading::WindowEnd, Start + Milliseconds(150), Busy);
    CHECK(schedule.due(Start + Milliseconds(200), Busy) == CounterReading::None);
}
