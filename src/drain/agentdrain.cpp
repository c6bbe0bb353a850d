#include "drain/agentdrain.h"

#include <algorithm>
#include <utility>

namespace Cardamomhill
{

AgentDrain::AgentDrain(std::optional<Microseconds> terminationGrace)
    : m_deadline(terminationGrace)
{
}

void AgentDrain::onTerminate(SteadyTime now)
{
    m_decision.leave(LeaveReason::Terminated, now);
    queueDueNotices(now);
}

void AgentDrain::onRetired(SteadyTime now)
{
    m_decision.leave(LeaveReason::Retired, now);
    queueDueNotices(now);
}

void AgentDrain::onHostList(std::optional<MemberState> listed, SteadyTime now)
{
    m_decision.onHostList(listed, now);
    queueDueNotices(now);
}

void AgentDrain::onConnected(ConnectionId connection, SteadyTime now)
{
    m_notices.insert_or_assign(connection, Notice{now, now, false});
    queueDueNotices(now);
}

void AgentDrain::onDisconnected(ConnectionId connection)
{
    m_notices.erase(connection);
    std::erase(m_dueNotices, connection);
}

void AgentDrain::onAcknowledged(ConnectionId connection)
{
    const auto notice = m_notices.find(connection);
    if (notice != m_notices.end() && isLeaving()) {
        notice->second.isDone = true;
    }
}

void AgentDrain::onRunningCount(std::uint64_t running, bool admissionClosed)
{
    if (isLeaving() && admissionClosed) {
        m_finalRunningCount = running;
    }
}

void AgentDrain::onTick(SteadyTime now)
{
    queueDueNotices(now);
    if (isLeaving()) {
        const auto elapsed = std::chrono::duration_cast<Microseconds>(now - m_decision.since());
        m_mustEndWork = m_mustEndWork || m_deadline.mustEnd(elapsed);
        m_isOverdue = m_isOverdue || m_deadline.isOverdue(elapsed);
    }
}

void AgentDrain::queueDueNotices(SteadyTime now)
{
    if (!isLeaving()) {
        return;
    }
    for (auto &[connection, notice] : m_notices) {
        if (notice.isDone || now < notice.nextSend) {
            continue;
        }
        if (now - std::max(notice.start, m_decision.since()) >= noticeTimeout) {
            notice.isDone = true;
            continue;
        }
        m_dueNotices.push_back(connection);
        notice.nextSend = now + noticeInterval;
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
    return std::exchange(m_dueNotices, {});
}

bool AgentDrain::mustEndWork() const
{
    return m_mustEndWork;
}

bool AgentDrain::shouldExit() const
{
    const bool allNoticesDone
        = std::all_of(m_notices.begin(), m_notices.end(), [](const auto &entry) { return entry.second.isDone; });
    return m_isOverdue || (isLeaving() && m_finalRunningCount == 0U && allNoticesDone);
}

} // namespace Cardamomhill
