#include "drain/entrydrain.h"

namespace Cardamomhill
{

EntryDrain::EntryDrain(Microseconds gracePeriod, std::optional<Microseconds> terminationGrace)
    : m_gracePeriod(gracePeriod)
    , m_deadline(terminationGrace)
{
}

void EntryDrain::onTerminate(SteadyTime now, Microseconds signalDelay)
{
    if (!isLeaving()) {
        m_deadline.setSignalDelay(signalDelay);
    }
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
    if (!isLeaving()) {
        return;
    }
    m_isClosed = m_isClosed || elapsed(now) >= m_gracePeriod;
    m_mustEndCalls = m_mustEndCalls || m_deadline.mustEnd(elapsed(now));
    m_isOverdue = m_isOverdue || m_deadline.isOverdue(elapsed(now));
    m_isClosed = m_isClosed || m_mustEndCalls;
}

AdmissionVerdict EntryDrain::admission(SteadyTime now, Microseconds limit, std::optional<Microseconds> expected) const
{
    const auto timeLeft = m_deadline.timeLeft(elapsed(now));
    if (!isLeaving() || !timeLeft) {
        return AdmissionVerdict::NotStopping;
    }
    if (limit <= *timeLeft) {
        return AdmissionVerdict::EndsInTime;
    }
    const bool isInGracePeriod = elapsed(now) + m_deadline.signalDelay() < m_gracePeriod - admissionMargin;
    const bool isExpectedInTime = expected && *expected <= *timeLeft;
    return isInGracePeriod && isExpectedInTime ? AdmissionVerdict::UsuallyEndsInTime : AdmissionVerdict::Refused;
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

bool EntryDrain::mustEndCalls() const
{
    return m_mustEndCalls;
}

bool EntryDrain::shouldExit() const
{
    return m_isOverdue || (m_isClosed && m_finalStreamCount == 0U);
}

Microseconds EntryDrain::elapsed(SteadyTime now) const
{
    return isLeaving() ? std::chrono::duration_cast<Microseconds>(now - m_decision.since()) : Microseconds(0);
}

} // namespace Cardamomhill
