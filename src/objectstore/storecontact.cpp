#include "objectstore/storecontact.h"

#include <algorithm>

namespace Cardamomhill
{

StoreContact::StoreContact(StoreContactOptions options)
    : m_options(options)
    , m_backoff(options.firstProbeDelay, options.maxProbeInterval)
{
}

bool StoreContact::mayCall(SteadyTime now)
{
    if (!m_isLost) {
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

void StoreContact::succeeded()
{
    m_isLost = false;
    m_isProbing = false;
    m_backoff.reset();
}

void StoreContact::failed(SteadyTime now, Random &random)
{
    // A call that was in progress when the store became unavailable adds no information.
    if (m_isLost && !m_isProbing) {
        return;
    }
    const bool wasAvailable = !m_isLost;
    // A probe of an unresponsive store ends only with its timeout, which must not add to the delay.
    const auto begin = m_isProbing ? m_probeStartedAt : now;
    m_isLost = true;
    m_isProbing = false;
    m_nextProbeAt = std::max<SteadyTime>(now, begin + m_backoff.next(random));
    if (wasAvailable) {
        for (const auto &observer : m_observers) {
            observer();
        }
    }
}

void StoreContact::onLost(std::function<void()> observer)
{
    m_observers.push_back(std::move(observer));
}

bool StoreContact::isLost() const
{
    return m_isLost;
}

} // namespace Cardamomhill
