#pragma once

#include "core/clocktypes.h"
#include "rebalance/counterreading.h"

#include <optional>

namespace Cardamomhill
{

/// Constants of CounterReadSchedule. Each reading is charged and pauses the group, so it is rare while the group is
/// idle.
struct CounterReadScheduleOptions {
    Milliseconds busyInterval{400};
    Milliseconds idleInterval{3000};
    /// Some steps of a busy group, in which its ranks select experts thousands of times.
    Milliseconds window{150};
    /// Minimum time from the end of a window to the start of the next. A switch to another map takes about as long.
    Milliseconds windowCooldown{500};
};

/// Decides when to read the expert counters of a group: at intervals, and at both ends of a short window as soon as its
/// steps have become slower.
class CounterReadSchedule
{
public:
    explicit CounterReadSchedule(CounterReadScheduleOptions options = {});

    /// Resets the schedule, because the group was formed again.
    void clear();

    void stepsSlowedDown();

    /// @param pressure from 0 for an idle group to 1 for a busy one
    CounterReading due(SteadyTime now, double pressure) const;

    /// A regular reading showed that other experts are selected now. It becomes the start of a window, since its
    /// selections are partly older than the change. Called after done().
    void loadShifted(SteadyTime now);
    void done(CounterReading reading, SteadyTime now, double pressure);

private:
    CounterReadScheduleOptions m_options;
    SteadyTime m_nextRegularAt{};
    SteadyTime m_nextWindowAt{};
    std::optional<SteadyTime> m_windowEndsAt;
    bool m_hasSlowedDown = false;
    bool m_hasReading = false;
};

} // namespace Cardamomhill
