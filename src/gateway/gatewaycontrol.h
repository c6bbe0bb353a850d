#pragma once

#include "control/kindfollower.h"
#include "net/asio.h"
#include "traffic/serverregistry.h"
#include "traffic/trafficconfiguration.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace Cardamomhill
{

class MetricsRegistry;
class StoreDialect;
class StoreRelay;
struct GatewaySettings;

/// Follows the configuration and the registered servers in the platform's store.
class GatewayControl
{
public:
    struct Subscribers {
        std::function<void(const std::shared_ptr<const TrafficConfiguration> &)> onConfiguration;
        std::function<void(const ServerChanges &)> onServers;
    };

    GatewayControl(asio::io_context &context,
                   const GatewaySettings &settings,
                   const StoreDialect &dialect,
                   MetricsRegistry &metrics,
                   StoreContact &contact,
                   StoreRelay &relay,
                   Subscribers subscribers);

    void start();

    /// The live hosts of the own failure domain without this one.
    void setDomainHosts(const std::vector<RelayHost> &hosts);

    StoreRole role() const;

    /// Whether calls can be routed.
    bool isReady() const;
    std::uint64_t configurationVersion() const;
    std::size_t serverCount() const;

private:
    void takeConfiguration(const ObjectPage &page);
    void takeServers(const ObjectPage &page);
    void takeServerChanges(const ObjectPage &page);
    std::vector<DiscoveredServer> readServers(const ObjectPage &page);
    void publishServers();
    Task<> tickLoop();

    asio::io_context &m_context;
    const StoreDialect &m_dialect;
    MetricsRegistry &m_metrics;
    Subscribers m_subscribers;
    KindFollower m_configurationFollower;
    KindFollower m_serverFollower;
    ServerRegistry m_registry;
    std::uint64_t m_version = 0;
    bool m_hasServers = false;
};

} // namespace Cardamomhill
