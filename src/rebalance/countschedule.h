#pragma once

#include "core/clocktypes.h"
#include "rebalance/countreading.h"

#include <optional>

namespace Cardamomhill
{

/// Constants of CountSchedule. Readings are charged and pause the group, so they are rare while little is to be gained.
struct CountScheduleOptions {
    Milliseconds busyInterval{800};
    Milliseconds idleInterval{3000};
    /// Some steps of a busy group, in which its ranks make thousands of choices.
    Milliseconds window{150};
    /// From the end of a window to the start of the next; a switch to another map takes about as long.
    Milliseconds windowRest{500};
};

/// When to read the choices of experts of a group: at intervals, and in a short window right after steps turned slow.
class CountSchedule
{
public:
    explicit CountSchedule(CountScheduleOptions options = {});

    /// Forgets the last reading: the group was formed anew.
    void clear();

    void stepsTurnedSlow();

    /// @param pressure from 0 for a group that has little to do to 1 for a busy one
    CountReading due(SteadyTime now, double pressure) const;
    void done(CountReading reading, SteadyTime now, double pressure);

private:
    CountScheduleOptions m_options;
    SteadyTime m_regularAt{};
    SteadyTime m_startAllowedAt{};
    std::optional<SteadyTime> m_windowEndsAt;
    bool m_hasTurnedSlow = false;
    bool m_hasReading = false;
};

} // namespace Cardamomhill
