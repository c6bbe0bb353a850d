#pragma once

#include "control/platformclient.h"
#include "core/random.h"
#include "net/asio.h"
#include "objectstore/storecontact.h"
#include "rebalance/coordinatorlease.h"
#include "rebalance/groupdirectory.h"
#include "traffic/serverchanges.h"
#include "traffic/serverslowness.h"
#include "traffic/trafficconfiguration.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Cardamomhill
{

class EngineDialect;
class GroupCoordinator;
class MetricsRegistry;

/// The entry host on which groups may be coordinated.
struct CoordinatorHost {
    std::string name;
    FailureDomainId failureDomain;
    double linkMegabitsPerSecond = 0;
};

/// Keeps one coordinator at work for each group of engines, by leases in the platform's store.
class Coordination
{
public:
    /// Takes the slow ranks of the groups that this process coordinates.
    using SlownessObserver = std::function<void(const ServerSlowness &)>;

    Coordination(asio::io_context &context,
                 const tcp::endpoint &platform,
                 std::shared_ptr<const ObjectApiDialect> objectApi,
                 const EngineDialect &engineDialect,
                 MetricsRegistry &metrics,
                 CoordinatorHost host,
                 StoreContact &contact,
                 SlownessObserver onSlowness);
    ~Coordination();

    void start();
    void apply(std::shared_ptr<const TrafficConfiguration> configuration);
    void applyServers(const ServerChanges &changes);

    /// The steps of a group take longer than they did.
    void groupTurnedSlow(const GroupId &group);

    /// Entry hosts that have turned silent. The leases that they hold are taken over soon.
    void setSilentHosts(std::set<std::string> hosts);

    /// Begins no further switch; one that is under way is finished. The leases lapse.
    void stop();

private:
    struct Led {
        CoordinatorLease lease;
        std::shared_ptr<GroupCoordinator> coordinator;
    };

    Task<> run();
    Task<> observeLeases();
    void noteContact();
    void publishSlowness();
    /// The group stays as it is until the task has ended.
    Task<> keep(const GroupView &group, EngineProfile engine);
    Task<> acquire(const GroupView &group, Led &led);
    Task<> renew(const GroupView &group, Led &led);
    Task<std::optional<std::uint64_t>> write(const GroupView &group, std::uint64_t expectedVersion);
    void stepDown(const GroupView &group, Led &led, std::string_view cause);
    Led &ledOf(const GroupId &group);
    Locality localityOf(const GroupView &group) const;
    bool mayAcquire(const Led &led) const;
    CoordinatorFitness fitnessFor(const GroupView &group) const;
    const EngineProfile *engineOf(const GroupView &group) const;

    asio::io_context &m_context;
    const EngineDialect &m_engineDialect;
    MetricsRegistry &m_metrics;
    PlatformClient m_client;
    Random m_random;
    CoordinatorHost m_host;
    StoreContact &m_contact;
    SlownessObserver m_onSlowness;
    std::string m_incarnation;
    std::shared_ptr<const TrafficConfiguration> m_configuration;
    GroupDirectory m_directory;
    std::map<GroupId, Led> m_led;
    ServerSlowness m_published;
    std::set<std::string> m_silentHosts;
    SteadyTime m_observedAt{};
    /// Whether the store was out of contact when that was looked at last.
    bool m_wasLost = false;
    std::uint64_t m_renewals = 0;
    bool m_isStopped = false;
};

} // namespace Cardamomhill
