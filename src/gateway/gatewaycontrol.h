#pragma once

#include "control/objectfollower.h"
#include "gateway/evacuationfollower.h"
#include "net/asio.h"
#include "traffic/serverregistry.h"
#include "traffic/trafficconfiguration.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace Cardamomhill
{

class MetricsRegistry;
class StoreCodec;
class StoreRelay;
struct GatewaySettings;

/// Watches the configuration, the server registrations and, if the settings state a limit for them, the evacuations of
/// failure domains in the platform's store, and notifies of changes.
class GatewayControl
{
public:
    struct Observers {
        std::function<void(const std::shared_ptr<const TrafficConfiguration> &)> onConfiguration;
        std::function<void(const ServerChanges &)> onServers;
        /// Never called if evacuations are not followed.
        std::function<void(const EvacuatedDomains &)> onEvacuations;
    };

    GatewayControl(asio::io_context &context,
                   const GatewaySettings &settings,
                   const StoreCodec &codec,
                   MetricsRegistry &metrics,
                   StoreAvailability &availability,
                   StoreRelay &relay,
                   Observers observers);

    void start();

    /// Sets the other live hosts in this host's failure domain. The store may be followed through one of them.
    void setFailureDomainHosts(const std::vector<RelayHost> &hosts);

    StoreRole role() const;

    /// Whether calls can be routed: a configuration is in force, a server has been known since the start, and the
    /// evacuated failure domains are known.
    bool isReady() const;
    std::uint64_t configurationVersion() const;
    std::size_t serverCount() const;

private:
    /// Counts objects that were left out of a page; PlatformClient logs them.
    void countUnreadable(const ObjectPage &page);
    void applyConfiguration(const ObjectPage &page);
    void replaceServers(const ObjectPage &page);
    void updateServers(const ObjectPage &page);
    /// The servers of a page. Removes those whose registrations are rejected.
    std::vector<DiscoveredServer> readServers(const ObjectPage &page);
    void publishServers();
    Task<> tickLoop();

    asio::io_context &m_context;
    const StoreCodec &m_codec;
    MetricsRegistry &m_metrics;
    Observers m_observers;
    ObjectFollower m_configurationFollower;
    ObjectFollower m_serverFollower;
    std::optional<EvacuationFollower> m_evacuationFollower;
    ServerRegistry m_serverRegistry;
    /// The era of the store in which the servers were last listed.
    std::optional<std::uint64_t> m_serverEra;
    std::uint64_t m_configurationVersion = 0;
    bool m_hasSeenServer = false;
};

} // namespace Cardamomhill
