#pragma once

#include "core/clocktypes.h"

#include <algorithm>

namespace Cardamomhill
{

/// The delays of repeated sends: each is twice the one before, up to a limit.
class Backoff
{
public:
    Backoff(Microseconds initial, Microseconds limit)
        : m_initial(initial)
        , m_limit(limit)
        , m_next(initial)
    {
    }

    /// Starts again with the initial delay and schedules the first repetition.
    void restart(SteadyTime now)
    {
        m_next = m_initial;
        advance(now);
    }

    /// Schedules the next repetition.
    void advance(SteadyTime now)
    {
        m_due = now + m_next;
        m_next = std::min(m_next * 2, m_limit);
    }

    bool isDue(SteadyTime now) const
    {
        return now >= m_due;
    }

private:
    Microseconds m_initial;
    Microseconds m_limit;
    Microseconds m_next;
    SteadyTime m_due;
};

} // namespace Cardamomhill
