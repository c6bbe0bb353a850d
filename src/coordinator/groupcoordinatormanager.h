#pragma once

#include "control/platformclient.h"
#include "core/random.h"
#include "net/asio.h"
#include "objectstore/storeavailability.h"
#include "objectstore/storerevision.h"
#include "rebalance/coordinatorlease.h"
#include "rebalance/groupdirectory.h"
#include "traffic/groupnotice.h"
#include "traffic/serverchanges.h"
#include "traffic/slowdownfactors.h"
#include "traffic/trafficconfiguration.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Cardamomhill
{

class EngineCodec;
class GroupCoordinator;
class MetricsRegistry;

/// The entry host on which this process may coordinate groups.
struct CoordinatorHost {
    std::string name;
    FailureDomainId failureDomain;
    double linkMegabitsPerSecond = 0;
};

/// Coordinates those groups of engines whose lease in the platform's store this process holds, so that each group has
/// one coordinator.
class GroupCoordinatorManager
{
public:
    struct Observers {
        /// The slow ranks of all groups that this process coordinates, whenever they change.
        std::function<void(const SlowdownFactors &)> onSlowdownFactors;
        /// A notice that the other entry hosts should receive.
        std::function<void(const GroupNotice &)> onGroupNotice;
    };

    GroupCoordinatorManager(asio::io_context &context,
                            const tcp::endpoint &platform,
                            std::shared_ptr<const ObjectApiCodec> objectApi,
                            const EngineCodec &engineCodec,
                            MetricsRegistry &metrics,
                            CoordinatorHost host,
                            StoreAvailability &availability,
                            Observers observers);
    ~GroupCoordinatorManager();

    void start();
    void apply(std::shared_ptr<const TrafficConfiguration> configuration);
    void applyServers(const ServerChanges &changes);

    /// The steps of a group have become slower.
    void onGroupStepsSlowedDown(const GroupId &group);

    /// Sets the entry hosts that are unresponsive. Local hosts of a group take over its lease
    /// from them before it expires.
    void setUnresponsiveHosts(std::set<std::string> hosts);

    /// Processes a notice of a group's coordinator on another host.
    void onGroupNotice(const GroupNotice &notice);

    /// Begins no further switch, but completes one that is in progress. Then gives up the leases, so that other hosts
    /// take over at once.
    void stop();

    /// Whether stop() has ended: no step of a group is held, and the leases are given up or could not be.
    bool hasStopped() const;

private:
    /// Lease of a group, and its coordinator while this process holds the lease.
    struct GroupState {
        CoordinatorLease lease;
        std::shared_ptr<GroupCoordinator> coordinator;
    };

    Task<> run();
    Task<> observeLeases();
    /// Gives lease holders time for a renewal once the store is available again.
    void checkStoreAvailability();
    void publishSlowdownFactors();
    /// Acquires or renews the lease if it is time. The group must not change until the task has ended.
    Task<> maintainLease(const GroupView &group, EngineProfile engine);
    Task<> acquire(const GroupView &group, GroupState &state);
    Task<> renew(const GroupView &group, GroupState &state);
    /// Writes the lease of a holder that the store has lost.
    Task<> recreate(const GroupView &group, GroupState &state);
    LeaseRecord ownRecord() const;
    /// Gives up all leases as soon as their coordinators have ended.
    Task<> releaseLeases();
    /// The same for stop(), after which there will be no other.
    Task<> releaseLastLeases();
    /// Writes the lease of a group.
    /// @param holder this host and its process, or nothing to give up the lease
    Task<std::optional<StoreRevision>>
    write(const GroupId &group, const LeaseRecord &holder, std::uint64_t expectedVersion);
    void stepDown(const GroupView &group, GroupState &state, std::string_view cause);
    GroupNotice noticeOf(GroupEvent event, const GroupId &group, std::uint64_t epoch) const;
    GroupState &stateOf(const GroupId &group);
    Locality localityOf(const GroupView &group) const;
    bool mayAcquire(const GroupState &state) const;
    CoordinatorFitness fitnessFor(const GroupView &group) const;
    const EngineProfile *engineOf(const GroupView &group) const;

    asio::io_context &m_context;
    const EngineCodec &m_engineCodec;
    MetricsRegistry &m_metrics;
    PlatformClient m_client;
    Random m_random;
    CoordinatorHost m_host;
    StoreAvailability &m_availability;
    Observers m_observers;
    std::string m_incarnation;
    std::shared_ptr<const TrafficConfiguration> m_configuration;
    GroupDirectory m_directory;
    std::map<GroupId, GroupState> m_groupStates;
    SlowdownFactors m_publishedSlowdownFactors;
    std::set<std::string> m_unresponsiveHosts;
    SteadyTime m_observedAt{};
    /// Whether the store was unavailable at the last check.
    bool m_wasStoreUnavailable = false;
    std::uint64_t m_renewals = 0;
    bool m_isStopped = false;
    bool m_areLeasesReleased = false;
};

} // namespace Cardamomhill
