#pragma once

#include "drain/leavedecision.h"

#include <cstdint>

namespace Cardamomhill
{

/// How an entry process leaves: first it is not ready, so that the platform's balancer sends no new callers; after a
/// grace period it takes no new connections; it exits after the last stream.
class EntryDrain
{
public:
    /// The grace period must be longer than the time in which the platform's balancer notices the readiness.
    explicit EntryDrain(Microseconds grace);

    void onTerminate(SteadyTime now);
    void onRetired(SteadyTime now);
    /// The state of the own host in a host list; nothing when the list lacks the host.
    void onHostList(std::optional<MemberState> listed, SteadyTime now);
    /// Number of requests and streams in progress. `connectionsClosed` says that listeners and idle
    /// connections were closed before counting; only such a count permits to exit.
    void onStreams(std::uint64_t open, bool connectionsClosed);
    void onTick(SteadyTime now);

    bool isLeaving() const;
    LeaveReason reason() const;
    bool isReady() const;
    /// When false, listeners and idle connections are to be closed. Until then answers of a leaving process
    /// carry `Connection: close`.
    bool acceptsConnections() const;
    bool shouldExit() const;

private:
    Microseconds m_grace;
    LeaveDecision m_decision;
    bool m_isClosed = false;
    std::optional<std::uint64_t> m_finalStreams;
};

} // namespace Cardamomhill
