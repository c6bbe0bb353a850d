#pragma once

#include "drain/leavedecision.h"
#include "drain/terminationdeadline.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Cardamomhill
{

/// Graceful shutdown of an agent: once it has to leave it accepts no new work, notifies the entry processes, completes
/// the running requests and exits, shortly before the platform kills it at the latest.
class AgentDrain
{
public:
    /// Identifies a connection of an entry process.
    using ConnectionId = std::uint64_t;

    /// An unacknowledged notice is repeated for this long after the decision to leave or, if later, the start of the
    /// connection. It is the time within which entry processes must be notified.
    static constexpr Microseconds noticeTimeout = Seconds(3);
    static constexpr Microseconds noticeInterval = Milliseconds(200);

    /// @param terminationGrace time from the decision to leave until the platform kills the process, if it does
    explicit AgentDrain(std::optional<Microseconds> terminationGrace = std::nullopt);

    void onTerminate(SteadyTime now);
    void onRetired(SteadyTime now);
    /// Call with the state of this host in a host list, or nothing if the list lacks it.
    void onHostList(std::optional<MemberState> listed, SteadyTime now);
    void onConnected(ConnectionId connection, SteadyTime now);
    void onDisconnected(ConnectionId connection);
    /// An entry process has acknowledged the notice on this connection.
    void onAcknowledged(ConnectionId connection);
    /// Call with the number of running requests, including streams until their last frame is acknowledged.
    /// `admissionClosed` says that the traffic thread stopped admission before it counted; only such a count permits
    /// the exit.
    void onRunningCount(std::uint64_t running, bool admissionClosed);
    void onTick(SteadyTime now);

    bool isLeaving() const;
    LeaveReason reason() const;
    /// False once the agent is leaving: requests that arrive later are refused before execution.
    bool acceptsNewWork() const;
    /// Returns the connections on which to send the leaving notice now.
    std::vector<ConnectionId> takeNotices();
    /// True shortly before the kill: requests in progress must be ended.
    bool mustEndWork() const;
    /// Whether nothing runs or can be admitted, and each entry process has acknowledged the notice or timed out; or the
    /// requests that had to be ended have had half of the margin to end.
    bool shouldExit() const;

private:
    struct Notice {
        SteadyTime start;
        SteadyTime nextSend;
        bool isDone = false;
    };

    void queueDueNotices(SteadyTime now);

    TerminationDeadline m_deadline;
    LeaveDecision m_decision;
    std::map<ConnectionId, Notice> m_notices;
    std::vector<ConnectionId> m_dueNotices;
    std::optional<std::uint64_t> m_finalRunningCount;
    bool m_mustEndWork = false;
    bool m_isOverdue = false;
};

} // namespace Cardamomhill
