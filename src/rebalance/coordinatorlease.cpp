#include "rebalance/coordinatorlease.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

Milliseconds randomDelay(Milliseconds limit, Random &random)
{
    std::uniform_int_distribution<Milliseconds::rep> spread(0, limit.count());
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
    const bool isFirst = m_acquireAt == SteadyTime::max();
    if (m_isHeld || (!isFirst && record.revision() <= m_record.revision())) {
        return;
    }
    m_record = record;
    m_mapTransferDelay = std::min<Microseconds>(m_options.mapTransferDelayFactor * fitness.mapTransferTime,
                                                m_options.maxMapTransferDelay);
    const auto delay = randomDelay(m_options.attemptJitter, random) + m_mapTransferDelay
        + (fitness.locality == Locality::Remote ? m_options.remoteDelay : Milliseconds(0));
    // The holder is an earlier process of this host that has ended, so its lease is not renewed any more.
    const bool isFromEarlierProcess = record.host == m_host && record.incarnation != m_incarnation;
    const bool isReleased = record.version != 0 && record.host.empty();
    if (isFromEarlierProcess) {
        m_acquireAt = now;
    } else if (isReleased && fitness.locality == Locality::Local) {
        m_acquireAt = now + takeoverDelay(random);
    } else {
        m_acquireAt = now + (record.version == 0 ? Milliseconds(0) : m_options.lifetime) + delay;
    }
}

void CoordinatorLease::holderLeft(SteadyTime now, Random &random)
{
    if (m_isHeld || hasUnresponsiveHolder()) {
        return;
    }
    m_unresponsiveHolderRevision = m_record.revision();
    m_acquireAt = std::min<SteadyTime>(m_acquireAt, now + takeoverDelay(random));
}

Microseconds CoordinatorLease::takeoverDelay(Random &random) const
{
    // The holder may have left a step held, so the delay of less fit hosts is limited as well.
    return randomDelay(m_options.unresponsiveHolderJitter, random)
        + std::min<Microseconds>(m_mapTransferDelay, m_options.unresponsiveHolderJitter);
}

void CoordinatorLease::storeBecameAvailable(SteadyTime now, Random &random)
{
    const bool isWaiting = !m_isHeld && m_record.version != 0 && !hasUnresponsiveHolder();
    if (isWaiting) {
        m_acquireAt = std::max<SteadyTime>(
            m_acquireAt, now + m_options.lifetime + randomDelay(m_options.attemptJitter, random) + m_mapTransferDelay);
    }
}

void CoordinatorLease::attemptFailed(SteadyTime now, Random &random)
{
    m_acquireAt = now + m_options.attemptInterval + randomDelay(m_options.attemptInterval, random);
}

bool CoordinatorLease::hasUnresponsiveHolder() const
{
    return m_record.revision() == m_unresponsiveHolderRevision;
}

const std::string &CoordinatorLease::holder() const
{
    return m_record.host;
}

bool CoordinatorLease::shouldAcquire(SteadyTime now) const
{
    return !m_isHeld && now >= m_acquireAt;
}

bool CoordinatorLease::shouldRenew(SteadyTime now) const
{
    return m_isHeld && now >= m_renewAt;
}

std::uint64_t CoordinatorLease::expectedVersion() const
{
    return m_record.version;
}

void CoordinatorLease::acquired(const StoreRevision &revision, SteadyTime now)
{
    m_isHeld = true;
    m_term = revision.number;
    renewed(revision, now);
}

void CoordinatorLease::renewed(const StoreRevision &revision, SteadyTime now)
{
    m_record = {revision.number, m_host, m_incarnation, revision.era};
    postponeRenewal(now);
}

void CoordinatorLease::postponeRenewal(SteadyTime now)
{
    m_renewAt = now + m_options.renewInterval;
}

void CoordinatorLease::lost(SteadyTime now, Random &random)
{
    m_isHeld = false;
    m_acquireAt = now + m_options.lifetime + randomDelay(m_options.attemptJitter, random);
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
