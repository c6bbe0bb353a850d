#pragma once

#include "core/clocktypes.h"

#include <utility>

namespace Cardamomhill
{

/// When a signal that is being handled can have been sent at the earliest. On a host whose processors are busy a
/// process gets a signal only when it runs again, and the kernel does not state when the signal was sent.
class SignalTime
{
public:
    explicit SignalTime(SteadyTime processStart)
        : m_notSentBefore(processStart)
        , m_lastTick(processStart)
    {
    }

    /// Call regularly on the thread to which the kernel delivers signals, that is the main thread.
    void onTick(SteadyTime now)
    {
        m_notSentBefore = std::exchange(m_lastTick, now);
    }

    /// The last tick but one. A signal that is pending when the thread runs again may be handled after the tick that
    /// was due meanwhile.
    SteadyTime notSentBefore() const
    {
        return m_notSentBefore;
    }

private:
    SteadyTime m_notSentBefore;
    SteadyTime m_lastTick;
};

} // namespace Cardamomhill
