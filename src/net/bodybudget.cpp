#include "net/bodybudget.h"

#include <algorithm>

namespace Cardamomhill
{

BodyBudget::BodyBudget(const BodyBudgetLimits &limits)
    : m_limits(limits)
{
}

void BodyBudget::setLimits(const BodyBudgetLimits &limits)
{
    m_limits = limits;
    // What counts as large may have changed.
    m_largeBytes = 0;
    for (const auto &[id, body] : m_bodies) {
        m_largeBytes += largeBytes(body->heldBytes);
    }
}

BodyId BodyBudget::open(SteadyTime now)
{
    Body body;
    body.id = m_nextId++;
    body.lastProgress = now;
    m_bodies.emplace(body.id, m_arriving.insert(m_arriving.end(), body));
    return body.id;
}

BodyGrant BodyBudget::take(BodyId id, std::size_t bytes, SteadyTime now)
{
    const auto found = m_bodies.find(id);
    if (found == m_bodies.end()) {
        return {};
    }
    auto &body = *found->second;
    bytes = std::max(bytes, body.heldBytes);
    BodyGrant grant;
    grant.dropped = bodiesInTheWayOf(body, bytes, now, grant.isGranted);
    if (!grant.isGranted) {
        return {};
    }
    for (const auto dropped : grant.dropped) {
        close(dropped);
    }
    setHeld(body, bytes);
    return grant;
}

std::vector<BodyId>
BodyBudget::bodiesInTheWayOf(const Body &body, std::size_t bytes, SteadyTime now, bool &suffices) const
{
    auto used = m_usedBytes - body.heldBytes + bytes;
    auto usedByLarge = m_largeBytes - largeBytes(body.heldBytes) + largeBytes(bytes);
    // A body that grows within the share of large ones is not limited by it: setLimits() may have lowered the share.
    const auto isEnough = [&] { return isWithinLimits(used, isLarge(bytes) ? usedByLarge : 0); };
    std::vector<BodyId> inTheWay;
    for (const auto &other : m_arriving) {
        // The list is ordered, so no later body has gone longer without progress.
        const bool isIdle = now - other.lastProgress >= m_limits.idleTime && other.lastProgress < body.lastProgress;
        if (isEnough() || !isIdle) {
            break;
        }
        const auto otherLarge = largeBytes(other.heldBytes);
        const bool isTotalExceeded = used > m_limits.totalBytes;
        if (other.heldBytes > 0 && (isTotalExceeded || otherLarge > 0)) {
            used -= other.heldBytes;
            usedByLarge -= otherLarge;
            inTheWay.push_back(other.id);
        }
    }
    suffices = isEnough();
    return inTheWay;
}

bool BodyBudget::recordReceived(BodyId id, std::size_t bytes, SteadyTime now)
{
    const auto found = m_bodies.find(id);
    if (found == m_bodies.end() || found->second->isComplete) {
        return false;
    }
    auto &body = *found->second;
    if (bytes < body.markedBytes + m_limits.progressBytes) {
        return false;
    }
    body.markedBytes = bytes;
    body.lastProgress = now;
    m_arriving.splice(m_arriving.end(), m_arriving, found->second);
    return true;
}

void BodyBudget::complete(BodyId id)
{
    const auto found = m_bodies.find(id);
    if (found != m_bodies.end() && !found->second->isComplete) {
        found->second->isComplete = true;
        m_complete.splice(m_complete.end(), m_arriving, found->second);
    }
}

void BodyBudget::close(BodyId id)
{
    const auto found = m_bodies.find(id);
    if (found == m_bodies.end()) {
        return;
    }
    const auto body = found->second;
    setHeld(*body, 0);
    m_bodies.erase(found);
    (body->isComplete ? m_complete : m_arriving).erase(body);
}

std::size_t BodyBudget::usedBytes() const
{
    return m_usedBytes;
}

std::size_t BodyBudget::bodyCount() const
{
    return m_bodies.size();
}

bool BodyBudget::isLarge(std::size_t bytes) const
{
    return bytes > m_limits.smallBodyBytes;
}

std::size_t BodyBudget::largeBytes(std::size_t bytes) const
{
    return isLarge(bytes) ? bytes : 0;
}

bool BodyBudget::isWithinLimits(std::size_t used, std::size_t usedByLarge) const
{
    return used <= m_limits.totalBytes && usedByLarge + m_limits.smallReserveBytes <= m_limits.totalBytes;
}

void BodyBudget::setHeld(Body &body, std::size_t bytes)
{
    m_usedBytes += bytes - body.heldBytes;
    m_largeBytes += largeBytes(bytes) - largeBytes(body.heldBytes);
    body.heldBytes = bytes;
}

} // namespace Cardamomhill
