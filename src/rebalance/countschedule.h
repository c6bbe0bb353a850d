#pragma once

#include "core/clocktypes.h"
#include "rebalance/countreading.h"

#include <optional>

namespace Cardamomhill
{

/// Constants of CountSchedule. Each reading is charged and pauses the group, so it is rare while the group is idle.
struct CountScheduleOptions {
    Milliseconds busyInterval{800};
    Milliseconds idleInterval{3000};
    /// Some steps of a busy group, in which its ranks select experts thousands of times.
    Milliseconds window{150};
    /// Minimum time from the end of a window to the start of the next. A switch to another map takes about as long.
    Milliseconds windowCooldown{500};
};

/// Decides when to read the expert counters of a group: at intervals, and at both ends of a short window as soon as its
/// steps have become slower.
class CountSchedule
{
public:
    explicit CountSchedule(CountScheduleOptions options = {});

    /// Resets the schedule, because the group was formed again.
    void clear();

    void stepsSlowedDown();

    /// @param pressure from 0 for an idle group to 1 for a busy one
    CountReading due(SteadyTime now, double pressure) const;
    void done(CountReading reading, SteadyTime now, double pressure);

private:
    CountScheduleOptions m_options;
    SteadyTime m_nextRegularAt{};
    SteadyTime m_nextWindowAt{};
    std::optional<SteadyTime> m_windowEndsAt;
    bool m_hasSlowedDown = false;
    bool m_hasReading = false;
};

} // namespace Cardamomhill
