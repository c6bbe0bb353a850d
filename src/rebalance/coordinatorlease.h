#pragma once

#include "core/clocktypes.h"
#include "core/random.h"
#include "objectstore/storerevision.h"
#include "rebalance/coordinatorfitness.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Cardamomhill
{

/// Constants of CoordinatorLease.
struct CoordinatorLeaseOptions {
    Milliseconds renewInterval{1500};
    /// A lease is free if this host has seen no renewal for this long.
    Milliseconds lifetime{4500};
    /// Maximum random delay of an attempt to acquire the lease, so that few hosts try at once.
    Milliseconds attemptJitter{3000};
    /// Additional delay of a remote host, so that all local hosts try first.
    Milliseconds remoteDelay{6000};
    /// Additional delay of a host, as a multiple of the time it takes to send a map to all ranks, and its maximum.
    int mapTransferDelayFactor = 16;
    Milliseconds maxMapTransferDelay{2900};
    /// Replaces `attemptJitter` if the holder is unresponsive: it may have stopped while it holds a step of the group.
    Milliseconds unresponsiveHolderJitter{500};
    /// Minimum time between two attempts.
    Milliseconds attemptInterval{500};
};

/// A lease as read from the store.
struct LeaseRecord {
    /// Version of the lease object; 0 if it does not exist.
    std::uint64_t version = 0;
    /// Host and incarnation of the holder's process; empty if the last holder has given up the lease.
    std::string host;
    std::string incarnation;
    /// The era of the store in which the lease was read.
    std::uint64_t era = 0;

    /// Orders the readings of a lease. The store may have lost the later versions of an earlier era.
    StoreRevision revision() const
    {
        return {era, version};
    }
};

/// Decides when this host acquires and renews the lease for coordinating a group. The lease is an object in the
/// platform's store that its holder renews by conditional writes. Expiry is measured with the local clock from when a
/// version was first seen, so two processes may both believe that they hold the lease. This is harmless: the version at
/// which a term began is part of the fencing token of each order.
class CoordinatorLease
{
public:
    CoordinatorLease(std::string host, std::string incarnation, CoordinatorLeaseOptions options = {});

    /// Processes a lease read from the store. It may be seconds old.
    void observe(const LeaseRecord &record, const CoordinatorFitness &fitness, SteadyTime now, Random &random);

    /// The holder has become unresponsive or has given up the lease, which is then acquired before it expires.
    void holderLeft(SteadyTime now, Random &random);

    /// The store is available again. A holder that is still responsive gets time for a renewal, which was impossible
    /// during the outage.
    void storeBecameAvailable(SteadyTime now, Random &random);

    /// The lease could not be read.
    void attemptFailed(SteadyTime now, Random &random);

    /// Whether the lease seems free. The caller then reads it again before writing it.
    bool shouldAcquire(SteadyTime now) const;
    bool shouldRenew(SteadyTime now) const;

    /// Host of the last known holder; empty if there is none.
    const std::string &holder() const;

    /// Version to state as the condition of the next write.
    std::uint64_t expectedVersion() const;

    /// @param revision the era and the version of the lease that this process has written
    void acquired(const StoreRevision &revision, SteadyTime now);
    void renewed(const StoreRevision &revision, SteadyTime now);
    /// The lease could not be renewed, and it is not known that another process holds it.
    void postponeRenewal(SteadyTime now);
    /// Another process wrote the lease, or this process gives it up.
    void lost(SteadyTime now, Random &random);

    bool isHeld() const;
    /// Version of the lease at which the current term began.
    std::uint64_t term() const;

private:
    bool hasUnresponsiveHolder() const;
    /// Random delay before the lease of a holder that is gone is acquired.
    Microseconds takeoverDelay(Random &random) const;

    std::string m_host;
    std::string m_incarnation;
    CoordinatorLeaseOptions m_options;
    LeaseRecord m_record;
    SteadyTime m_acquireAt = SteadyTime::max();
    SteadyTime m_renewAt{};
    std::uint64_t m_term = 0;
    bool m_isHeld = false;
    /// Additional delay of this host that grows with the time it takes to send a map.
    Microseconds m_mapTransferDelay{0};
    /// The lease for which holderLeft() was handled.
    StoreRevision m_unresponsiveHolderRevision;
};

} // namespace Cardamomhill
