#include "drain/entrydrain.h"

namespace Cardamomhill
{

EntryDrain::EntryDrain(Microseconds gracePeriod)
    : m_gracePeriod(gracePeriod)
{
}

void EntryDrain::onTerminate(SteadyTime now)
{
    m_decision.leave(LeaveReason::Terminated, now);
}

void EntryDrain::onRetired(SteadyTime now)
{
    m_decision.leave(LeaveReason::Retired, now);
}

void EntryDrain::onHostList(std::optional<MemberState> listed, SteadyTime now)
{
    m_decision.onHostList(listed, now);
}

void EntryDrain::onStreamCount(std::uint64_t open, bool connectionsClosed)
{
    if (m_isClosed && connectionsClosed) {
        m_finalStreamCount = open;
    }
}

void EntryDrain::onTick(SteadyTime now)
{
    if (isLeaving() && now - m_decision.since() >= m_gracePeriod) {
        m_isClosed = true;
    }
}

bool EntryDrain::isLeaving() const
{
    return m_decision.isLeaving();
}

LeaveReason EntryDrain::reason() const
{
    return m_decision.reason();
}

bool EntryDrain::isReady() const
{
    return !isLeaving();
}

bool EntryDrain::acceptsConnections() const
{
    return !m_isClosed;
}

bool EntryDrain::shouldExit() const
{
    return m_isClosed && m_finalStreamCount == 0U;
}

} // namespace Cardamomhill
