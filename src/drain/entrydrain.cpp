#include "drain/entrydrain.h"

namespace Cardamomhill
{

EntryDrain::EntryDrain(Microseconds grace)
    : m_grace(grace)
{
}

void EntryDrain::onTerminate(SteadyTime now)
{
    m_decision.onReason(LeaveReason::Terminated, now);
}

void EntryDrain::onRetired(SteadyTime now)
{
    m_decision.onReason(LeaveReason::Retired, now);
}

void EntryDrain::onHostList(std::optional<MemberState> listed, SteadyTime now)
{
    m_decision.onHostList(listed, now);
}

void EntryDrain::onStreams(std::uint64_t open, bool connectionsClosed)
{
    if (m_isClosed && connectionsClosed) {
        m_finalStreams = open;
    }
}

void EntryDrain::onTick(SteadyTime now)
{
    if (isLeaving() && now - m_decision.since() >= m_grace) {
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
    return m_isClosed && m_finalStreams == 0U;
}

} // namespace Cardamomhill
