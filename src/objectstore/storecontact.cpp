#include "objectstore/storecontact.h"

#include <algorithm>

namespace Cardamomhill
{

StoreContact::StoreContact(StoreContactOptions options)
    : m_options(options)
    , m_backoff(options.firstDelay, options.delayLimit)
{
}

bool StoreContact::mayCall(SteadyTime now)
{
    if (!m_isLost) {
        return true;
    }
    if (now < m_probeAt) {
        return false;
    }
    m_isProbing = true;
    m_probedAt = now;
    m_probeAt = now + m_options.probeLimit;
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
    // A call that was under way when the contact was lost says nothing new.
    if (m_isLost && !m_isProbing) {
        return;
    }
    const bool isNews = !m_isLost;
    // A store that is silent lets a probe wait, and the time of that wait must not add to the delay.
    const auto begin = m_isProbing ? m_probedAt : now;
    m_isLost = true;
    m_isProbing = false;
    m_probeAt = std::max<SteadyTime>(now, begin + m_backoff.next(random));
    if (isNews) {
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
