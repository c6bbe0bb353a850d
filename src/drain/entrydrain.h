#pragma once

#include "drain/leavedecision.h"

#include <cstdint>

namespace Cardamomhill
{

/// Graceful shutdown of an entry process: first it reports that it is not ready, so that the platform's load balancer
/// sends no new callers; after a grace period it accepts no new connections; it exits after the last stream.
class EntryDrain
{
public:
    /// The grace period must be longer than the platform's load balancer needs to detect the change of readiness.
    explicit EntryDrain(Microseconds gracePeriod);

    void onTerminate(SteadyTime now);
    void onRetired(SteadyTime now);
    /// Call with the state of this host in a host list, or nothing if the list lacks it.
    void onHostList(std::optional<MemberState> listed, SteadyTime now);
    /// Call with the number of requests and streams in progress. `connectionsClosed` says that listeners and idle
    /// connections were closed before counting; only such a count permits the exit.
    void onStreamCount(std::uint64_t open, bool connectionsClosed);
    void onTick(SteadyTime now);

    bool isLeaving() const;
    LeaveReason reason() const;
    bool isReady() const;
    /// When false, listeners and idle connections must be closed. Until then, answers of a leaving process carry
    /// `Connection: close`.
    bool acceptsConnections() const;
    bool shouldExit() const;

private:
    Microseconds m_gracePeriod;
    LeaveDecision m_decision;
    bool m_isClosed = false;
    std::optional<std::uint64_t> m_finalStreamCount;
};

} // namespace Cardamomhill
