#pragma once

#include "core/clocktypes.h"

#include <algorithm>
#include <optional>

namespace Cardamomhill
{

/// When a process that leaves must end what still runs, given when the platform kills it. All times are counted from
/// the decision to leave, which is when the signal was handled.
class TerminationDeadline
{
public:
    /// How long before the kill the process ends what still runs, so that callers get an answer where one is possible.
    static constexpr Microseconds maxMargin = Milliseconds(400);
    /// The margin is at most the termination grace divided by this.
    static constexpr int marginDivisor = 8;
    /// What still runs is ended in the last part of the termination grace only, however late the signal was handled:
    /// its callers count on five sixths of the grace.
    static constexpr int lastPartDivisor = 6;

    /// @param terminationGrace time from the signal until the platform kills the process, or nothing if it does not
    explicit TerminationDeadline(std::optional<Microseconds> terminationGrace)
        : m_terminationGrace(terminationGrace)
    {
    }

    /// Sets how long before the decision to leave the signal can have been sent. The time until the kill is counted
    /// from then, since a process that is killed unprepared answers nobody.
    void setSignalDelay(Microseconds signalDelay)
    {
        m_signalDelay = signalDelay;
    }

    Microseconds signalDelay() const
    {
        return m_signalDelay;
    }

    /// Time that is left for certain until calls are ended, or nothing if the process is not killed.
    std::optional<Microseconds> timeLeft(Microseconds elapsed) const
    {
        return m_terminationGrace ? std::optional(*m_terminationGrace - margin() - m_signalDelay - elapsed)
                                  : std::nullopt;
    }

    /// Whether what still runs must be ended.
    bool mustEnd(Microseconds elapsed) const
    {
        return m_terminationGrace && elapsed >= end();
    }

    /// Whether what had to be ended has had half of the margin to end, so that the process must exit.
    bool isOverdue(Microseconds elapsed) const
    {
        return m_terminationGrace && elapsed >= end() + margin() / 2;
    }

private:
    Microseconds margin() const
    {
        return std::min(maxMargin, m_terminationGrace.value_or(maxMargin) / marginDivisor);
    }

    Microseconds end() const
    {
        const auto grace = m_terminationGrace.value_or(Microseconds(0));
        return std::max(grace - margin() - m_signalDelay, grace - grace / lastPartDivisor);
    }

    std::optional<Microseconds> m_terminationGrace;
    Microseconds m_signalDelay{0};
};

} // namespace Cardamomhill
