#include "objectstore/storeavailability.h"

#include <algorithm>

namespace Cardamomhill
{

StoreAvailability::StoreAvailability(StoreAvailabilityOptions options)
    : m_options(options)
    , m_backoff(options.firstProbeDelay, options.maxProbeInterval)
{
}

bool StoreAvailability::tryBeginCall(SteadyTime now)
{
    if (!m_isUnavailable) {
        return true;
    }
    if (now < m_nextProbeAt) {
        return false;
    }
    m_isProbing = true;
    m_probeStartedAt = now;
    m_nextProbeAt = now + m_options.probeTimeout;
    return true;
}

void StoreAvailability::onSuccess()
{
    m_isUnavailable = false;
    m_isProbing = false;
    m_backoff.reset();
}

void StoreAvailability::onFailure(SteadyTime now, Random &random)
{
    // A call that was in progress when the store became unavailable adds no information.
    if (m_isUnavailable && !m_isProbing) {
        return;
    }
    const bool wasAvailable = !m_isUnavailable;
    // A probe of an unresponsive store ends only with its timeout, which must not add to the delay.
    const auto begin = m_isProbing ? m_probeStartedAt : now;
    m_isUnavailable = true;
    m_isProbing = false;
    m_nextProbeAt = std::max<SteadyTime>(now, begin + m_backoff.next(random));
    if (wasAvailable) {
        for (const auto &observer : m_observers) {
            observer();
        }
    }
}

void StoreAvailability::onUnavailable(std::function<void()> observer)
{
    m_observers.push_back(std::move(observer));
}

bool StoreAvailability::isUnavailable() const
{
    return m_isUnavailable;
}

} // namespace Cardamomhill
