#include "drain/agentdrain.h"

#include <algorithm>
#include <utility>

namespace Cardamomhill
{

void AgentDrain::onTerminate(SteadyTime now)
{
    m_decision.onReason(LeaveReason::Terminated, now);
    sendDue(now);
}

void AgentDrain::onRetired(SteadyTime now)
{
    m_decision.onReason(LeaveReason::Retired, now);
    sendDue(now);
}

void AgentDrain::onHostList(std::optional<MemberState> listed, SteadyTime now)
{
    m_decision.onHostList(listed, now);
    sendDue(now);
}

void AgentDrain::onConnected(ConnectionId connection, SteadyTime now)
{
    m_notices.insert_or_assign(connection, Notice{now, now, false});
    sendDue(now);
}

void AgentDrain::onDisconnected(ConnectionId connection)
{
    m_notices.erase(connection);
    std::erase(m_due, connection);
}

void AgentDrain::onAcknowledged(ConnectionId connection)
{
    const auto notice = m_notices.find(connection);
    if (notice != m_notices.end() && isLeaving()) {
        notice->second.isDone = true;
    }
}

void AgentDrain::onRunning(std::uint64_t running, bool admissionClosed)
{
    if (isLeaving() && admissionClosed) {
        m_finalRunning = running;
    }
}

void AgentDrain::onTick(SteadyTime now)
{
    sendDue(now);
}

void AgentDrain::sendDue(SteadyTime now)
{
    if (!isLeaving()) {
        return;
    }
    for (auto &[connection, notice] : m_notices) {
        if (notice.isDone || now < notice.next) {
            continue;
        }
        if (now - std::max(notice.start, m_decision.since()) >= noticeLimit) {
            notice.isDone = true;
            continue;
        }
        m_due.push_back(connection);
        notice.next = now + noticeInterval;
    }
}

bool AgentDrain::isLeaving() const
{
    return m_decision.isLeaving();
}

LeaveReason AgentDrain::reason() const
{
    return m_decision.reason();
}

bool AgentDrain::acceptsNewWork() const
{
    return !isLeaving();
}

std::vector<AgentDrain::ConnectionId> AgentDrain::takeNotices()
{
    return std::exchange(m_due, {});
}

bool AgentDrain::shouldExit() const
{
    const bool allKnow
        = std::all_of(m_notices.begin(), m_notices.end(), [](const auto &entry) { return entry.second.isDone; });
    return isLeaving() && m_finalRunning == 0U && allKnow;
}

} // namespace Cardamomhill
