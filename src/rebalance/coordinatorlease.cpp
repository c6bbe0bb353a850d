#include "rebalance/coordinatorlease.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

Milliseconds randomPart(Milliseconds most, Random &random)
{
    std::uniform_int_distribution<Milliseconds::rep> spread(0, most.count());
    return Milliseconds(spread(random));
}

} // namespace

CoordinatorLease::CoordinatorLease(std::string host, std::string incarnation, CoordinatorLeaseOptions options)
    : m_host(std::move(host))
    , m_incarnation(std::move(incarnation))
    , m_options(options)
{
}

void CoordinatorLease::observe(const LeaseRecord &record,
                               const CoordinatorFitness &fitness,
                               SteadyTime now,
                               Random &random)
{
    const bool isFirst = m_freeAt == SteadyTime::max();
    if (m_isHeld || (!isFirst && record.version <= m_record.version)) {
        return;
    }
    m_record = record;
    m_mapDelay = std::min<Microseconds>(m_options.delayPerMapTime * fitness.mapTime, m_options.longestMapDelay);
    const auto delay = randomPart(m_options.attemptSpread, random) + m_mapDelay
        + (fitness.locality == Locality::Remote ? m_options.remoteDelay : Milliseconds(0));
    // An earlier process of this host has ended, so nobody renews its lease.
    const bool isOwnRemnant = record.host == m_host && record.incarnation != m_incarnation;
    if (isOwnRemnant) {
        m_freeAt = now;
    } else {
        m_freeAt = now + (record.version == 0 ? Milliseconds(0) : m_options.lifetime) + delay;
    }
}

void CoordinatorLease::holderTurnedSilent(SteadyTime now, Random &random)
{
    if (m_isHeld || hasSilentHolder()) {
        return;
    }
    m_silentVersion = m_record.version;
    // A step may be held, so the less fit hosts wait no longer than all others do.
    const auto delay
        = randomPart(m_options.silentSpread, random) + std::min<Microseconds>(m_mapDelay, m_options.silentSpread);
    m_freeAt = std::min<SteadyTime>(m_freeAt, now + delay);
}

void CoordinatorLease::storeRegained(SteadyTime now, Random &random)
{
    const bool isWaiting = !m_isHeld && m_record.version != 0 && !hasSilentHolder();
    if (isWaiting) {
        m_freeAt = std::max<SteadyTime>(
            m_freeAt, now + m_options.lifetime + randomPart(m_options.attemptSpread, random) + m_mapDelay);
    }
}

void CoordinatorLease::attemptFailed(SteadyTime now, Random &random)
{
    m_freeAt = now + m_options.attemptInterval + randomPart(m_options.attemptInterval, random);
}

bool CoordinatorLease::hasSilentHolder() const
{
    return m_record.version == m_silentVersion;
}

const std::string &CoordinatorLease::holder() const
{
    return m_record.host;
}

bool CoordinatorLease::shouldAcquire(SteadyTime now) const
{
    return !m_isHeld && now >= m_freeAt;
}

bool CoordinatorLease::shouldRenew(SteadyTime now) const
{
    return m_isHeld && now >= m_renewAt;
}

std::uint64_t CoordinatorLease::expectedVersion() const
{
    return m_record.version;
}

void CoordinatorLease::acquired(std::uint64_t version, SteadyTime now)
{
    m_isHeld = true;
    m_term = version;
    renewed(version, now);
}

void CoordinatorLease::renewed(std::uint64_t version, SteadyTime now)
{
    m_record = {version, m_host, m_incarnation};
    m_renewAt = now + m_options.renewInterval;
}

void CoordinatorLease::lost(SteadyTime now, Random &random)
{
    m_isHeld = false;
    m_freeAt = now + m_options.lifetime + randomPart(m_options.attemptSpread, random);
}

bool CoordinatorLease::isHeld() const
{
    return m_isHeld;
}

std::uint64_t CoordinatorLease::term() const
{
    return m_term;
}

} // namespace Cardamomhill
