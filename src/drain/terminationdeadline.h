#pragma once

#include "core/clocktypes.h"

#include <algorithm>
#include <optional>

namespace Cardamomhill
{

/// When a process that leaves must end what still runs, given when the platform kills it. All times are counted from
/// the decision to leave.
class TerminationDeadline
{
public:
    /// How long before the kill the process ends what still runs, so that callers get an answer where one is possible.
    static constexpr Microseconds maxMargin = Milliseconds(400);
    /// The margin is at most the termination grace divided by this.
    static constexpr int marginDivisor = 8;

    /// @param terminationGrace time until the platform kills the process, or nothing if it does not
    explicit TerminationDeadline(std::optional<Microseconds> terminationGrace)
        : m_terminationGrace(terminationGrace)
    {
    }

    /// Time left until mustEnd(), or nothing if the process is not killed.
    std::optional<Microseconds> timeLeft(Microseconds elapsed) const
    {
        return m_terminationGrace ? std::optional(*m_terminationGrace - margin() - elapsed) : std::nullopt;
    }

    /// Whether what still runs must be ended.
    bool mustEnd(Microseconds elapsed) const
    {
        return m_terminationGrace && elapsed >= *m_terminationGrace - margin();
    }

    /// Whether what had to be ended has had half of the margin to end, so that the process must exit.
    bool isOverdue(Microseconds elapsed) const
    {
        return m_terminationGrace && elapsed >= *m_terminationGrace - margin() / 2;
    }

private:
    Microseconds margin() const
    {
        return std::min(maxMargin, m_terminationGrace.value_or(maxMargin) / marginDivisor);
    }

    std::optional<Microseconds> m_terminationGrace;
};

} // namespace Cardamomhill
