#pragma once

#include "core/clocktypes.h"

#include <algorithm>

namespace Cardamomhill
{

/// Schedules retransmissions with exponential back-off: each delay is twice the one before, up to a maximum.
class RetransmissionTimer
{
public:
    RetransmissionTimer(Microseconds initialDelay, Microseconds maximumDelay)
        : m_initialDelay(initialDelay)
        , m_maximumDelay(maximumDelay)
        , m_delay(initialDelay)
    {
    }

    /// Resets the delay and schedules the first retransmission.
    void restart(SteadyTime now)
    {
        m_delay = m_initialDelay;
        scheduleNext(now);
    }

    /// Schedules the next retransmission.
    void scheduleNext(SteadyTime now)
    {
        m_nextSend = now + m_delay;
        m_delay = std::min(m_delay * 2, m_maximumDelay);
    }

    bool isDue(SteadyTime now) const
    {
        return now >= m_nextSend;
    }

private:
    Microseconds m_initialDelay;
    Microseconds m_maximumDelay;
    Microseconds m_delay;
    SteadyTime m_nextSend;
};

} // namespace Cardamomhill
