#include "traffic/serviceoutage.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

/// Callers accept a time to come back of up to this fraction of the time that they have left, by their clock: the
/// answer takes some milliseconds to reach them.
constexpr int AcceptedFraction = 3;
constexpr Milliseconds AnswerDelay{60};
/// Outages last for seconds.
constexpr Milliseconds MaxReturn{5000};

} // namespace

ServiceOutage::ServiceOutage(ServiceOutageOptions options)
    : m_options(options)
{
}

bool ServiceOutage::isEnabled() const
{
    return m_options.silence.has_value();
}

void ServiceOutage::recordProgress(SteadyTime now)
{
    if (isOut(now) || m_wasOut) {
        m_endedAt = now;
        m_wasOut = false;
    }
    m_progressAt = now;
    m_failures = 0;
}

void ServiceOutage::recordFailure(SteadyTime now)
{
    if (now - m_failedAt > m_options.failureLifetime) {
        m_failures = 0;
    }
    if (m_failures == 0) {
        m_failingSince = now;
    }
    m_failedAt = now;
    ++m_failures;
    m_wasOut = m_wasOut || isOut(now);
}

bool ServiceOutage::isOut(SteadyTime now) const
{
    // A host without streams is silent too: only calls that go on failing show an outage.
    const bool goesOnFailing = m_options.silence && now - m_failingSince >= *m_options.silence / 2;
    return goesOnFailing && m_failures >= m_options.minFailures && now - m_failedAt <= m_options.failureLifetime
        && now - m_progressAt >= *m_options.silence;
}

bool ServiceOutage::tryProbe(SteadyTime now)
{
    if (now - m_probedAt < m_options.probeInterval) {
        return false;
    }
    m_probedAt = now;
    return true;
}

bool ServiceOutage::isWorthWaiting(Microseconds wait, SteadyTime now) const
{
    return now - m_failingSince <= wait * m_options.maxAgePerWait;
}

bool ServiceOutage::isRecovering(SteadyTime now) const
{
    return m_endedAt != SteadyTime() && now - m_endedAt <= m_options.recoveryTime;
}

Milliseconds ServiceOutage::returnAfter(Milliseconds remaining)
{
    return std::clamp((remaining - AnswerDelay) / AcceptedFraction, Milliseconds(0), MaxReturn);
}

} // namespace Cardamomhill
