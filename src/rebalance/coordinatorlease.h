#pragma once

#include "core/clocktypes.h"
#include "core/random.h"
#include "rebalance/coordinatorfitness.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Cardamomhill
{

/// Constants of CoordinatorLease.
struct CoordinatorLeaseOptions {
    Milliseconds renewInterval{1500};
    /// A lease that was not renewed for this long, as seen here, is free.
    Milliseconds lifetime{4500};
    /// Random delay of an attempt, so that few hosts try at once.
    Milliseconds attemptSpread{3000};
    /// Further delay of a remote host, so that it comes only after all local ones.
    Milliseconds remoteDelay{6000};
    /// Further delay of a host for each time unit that a map occupies its link, and the longest such delay.
    int delayPerMapTime = 16;
    Milliseconds longestMapDelay{2900};
    /// The same as `attemptSpread` after the holder turned silent. It may have stopped in a step that it holds.
    Milliseconds silentSpread{500};
    /// Shortest time between two attempts.
    Milliseconds attemptInterval{500};
};

/// What the store holds of a lease.
struct LeaseRecord {
    /// The object's version; 0 if there is none.
    std::uint64_t version = 0;
    /// Host and incarnation of the holder's process.
    std::string host;
    std::string incarnation;
};

/// Who coordinates a group: the holder of an object in the platform's store, renewed by conditional writes. Expiry is
/// judged by the local clock from when a version was first seen. That two processes can believe that they hold it is
/// harmless, since the version at which a term began numbers all its orders.
class CoordinatorLease
{
public:
    CoordinatorLease(std::string host, std::string incarnation, CoordinatorLeaseOptions options = {});

    /// Takes what the store said, which may be seconds old.
    void observe(const LeaseRecord &record, const CoordinatorFitness &fitness, SteadyTime now, Random &random);

    /// The host that holds the lease is not heard any more. Takes it earlier than its lifetime says.
    void holderTurnedSilent(SteadyTime now, Random &random);

    /// The store is back. Its holder could not renew the lease meanwhile, unless it has turned silent itself.
    void storeRegained(SteadyTime now, Random &random);

    /// The lease could not be read.
    void attemptFailed(SteadyTime now, Random &random);

    /// Whether the lease looks free, so that it should be read anew and written.
    bool shouldAcquire(SteadyTime now) const;
    bool shouldRenew(SteadyTime now) const;

    /// The host that holds the lease as far as is known; empty if none does.
    const std::string &holder() const;

    /// The version that a write has to expect.
    std::uint64_t expectedVersion() const;

    void acquired(std::uint64_t version, SteadyTime now);
    void renewed(std::uint64_t version, SteadyTime now);
    /// Another process wrote it, or this one gives it up.
    void lost(SteadyTime now, Random &random);

    bool isHeld() const;
    /// The version at which the present term began.
    std::uint64_t term() const;

private:
    bool hasSilentHolder() const;

    std::string m_host;
    std::string m_incarnation;
    CoordinatorLeaseOptions m_options;
    LeaseRecord m_record;
    SteadyTime m_freeAt = SteadyTime::max();
    SteadyTime m_renewAt{};
    std::uint64_t m_term = 0;
    bool m_isHeld = false;
    /// Further delay of this host for the time that maps take on its link.
    Microseconds m_mapDelay{0};
    /// The record for which the holder's silence was taken into account.
    std::uint64_t m_silentVersion = 0;
};

} // namespace Cardamomhill
