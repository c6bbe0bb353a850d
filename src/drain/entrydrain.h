#pragma once

#include "drain/admissionverdict.h"
#include "drain/leavedecision.h"
#include "drain/terminationdeadline.h"

#include <cstdint>
#include <optional>

namespace Cardamomhill
{

/// Graceful shutdown of an entry process: first it reports that it is not ready, so that the platform's load balancer
/// sends no new callers; after a grace period it accepts no new connections; it exits after the last stream, or shortly
/// before the platform kills it. Throughout, it admits only calls that are likely to end before that.
class EntryDrain
{
public:
    /// How long before the end of the grace period only calls that must end in time are admitted, since a caller may
    /// have sent a call later than the process received it.
    static constexpr Microseconds admissionMargin = Milliseconds(100);

    /// The grace period must be longer than the platform's load balancer needs to detect the change of readiness.
    /// @param terminationGrace time from the decision to leave until the platform kills the process, if it does
    explicit EntryDrain(Microseconds gracePeriod, std::optional<Microseconds> terminationGrace = std::nullopt);

    /// @param signalDelay how long before `now` the signal can have been sent. Callers and the platform count their
    /// times from then.
    void onTerminate(SteadyTime now, Microseconds signalDelay = Microseconds(0));
    void onRetired(SteadyTime now);
    /// Call with the state of this host in a host list, or nothing if the list lacks it.
    void onHostList(std::optional<MemberState> listed, SteadyTime now);
    /// Call with the number of requests and streams in progress. `connectionsClosed` says that listeners and idle
    /// connections were closed before counting; only such a count permits the exit.
    void onStreamCount(std::uint64_t open, bool connectionsClosed);
    void onTick(SteadyTime now);

    /// Whether a call that arrives now may begin. Once the process leaves, a call is admitted if it must end before the
    /// process does, or, in the grace period, if calls like it are known to end before that. A call that is refused
    /// reaches another host at once, one that is cut is lost.
    /// @param limit the longest time that the call may take
    /// @param expected how long such calls take at most, or nothing if that is not known
    AdmissionVerdict admission(SteadyTime now, Microseconds limit, std::optional<Microseconds> expected) const;

    bool isLeaving() const;
    LeaveReason reason() const;
    bool isReady() const;
    /// When false, listeners and idle connections must be closed. Until then, answers of a leaving process carry
    /// `Connection: close`.
    bool acceptsConnections() const;
    /// True shortly before the kill: calls in progress must be ended.
    bool mustEndCalls() const;
    /// Whether nothing is in progress, or the calls that had to be ended have had half of the margin to end.
    bool shouldExit() const;

    /// Time since the decision to leave; zero before it.
    Microseconds elapsed(SteadyTime now) const;

private:
    Microseconds m_gracePeriod;
    TerminationDeadline m_deadline;
    LeaveDecision m_decision;
    bool m_isClosed = false;
    bool m_mustEndCalls = false;
    bool m_isOverdue = false;
    std::optional<std::uint64_t> m_finalStreamCount;
};

} // namespace Cardamomhill
