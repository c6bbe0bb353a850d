#pragma once

#include "drain/leavedecision.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Cardamomhill
{

/// How an agent leaves: it accepts no new work from the moment it learns that it leaves, tells the entry processes,
/// finishes what runs, and exits.
class AgentDrain
{
public:
    /// A connection of an entry process.
    using ConnectionId = std::uint64_t;

    /// A notice that is not acknowledged is repeated for this long, counted from the moment of leaving or, if later,
    /// from the start of the connection. It is the time within which entry processes must know.
    static constexpr Microseconds noticeLimit = Seconds(3);
    static constexpr Microseconds noticeInterval = Milliseconds(200);

    void onTerminate(SteadyTime now);
    void onRetired(SteadyTime now);
    /// The state of the own host in a host list; nothing when the list lacks the host.
    void onHostList(std::optional<MemberState> listed, SteadyTime now);
    void onConnected(ConnectionId connection, SteadyTime now);
    void onDisconnected(ConnectionId connection);
    /// An entry process has acknowledged the notice on this connection.
    void onAcknowledged(ConnectionId connection);
    /// Number of requests that run, streams included until their last frame is acknowledged. `admissionClosed` says
    /// that the traffic thread has applied the end of admission before it counted; only such a count permits to exit.
    void onRunning(std::uint64_t running, bool admissionClosed);
    void onTick(SteadyTime now);

    bool isLeaving() const;
    LeaveReason reason() const;
    /// False from the moment of leaving on: whatever arrives later is refused before execution.
    bool acceptsNewWork() const;
    /// Connections on which the leaving notice is to be sent now.
    std::vector<ConnectionId> takeNotices();
    /// Nothing runs, nothing can be admitted, and each entry process knows or has had its time.
    bool shouldExit() const;

private:
    struct Notice {
        SteadyTime start;
        SteadyTime next;
        bool isDone = false;
    };

    void sendDue(SteadyTime now);

    LeaveDecision m_decision;
    std::map<ConnectionId, Notice> m_notices;
    std::vector<ConnectionId> m_due;
    std::optional<std::uint64_t> m_finalRunning;
};

} // namespace Cardamomhill
