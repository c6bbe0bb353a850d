#pragma once

#include "config/configurationbuilder.h"
#include "control/controltransport.h"
#include "control/platformclient.h"
#include "control/serverstatus.h"
#include "core/random.h"
#include "membership/gossipnode.h"
#include "net/asio.h"
#include "objectstore/watchscheduler.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Cardamomhill
{

class Configuration;
class MetricsRegistry;
struct EntrySettings;

/// Runs on the control thread of an entry process. Maintains membership of the failure domain, receives configuration
/// from peers, and watches the platform while this host is a relay, that is, forwards the platform's objects to others.
class EntryControl
{
public:
    struct Subscribers {
        std::function<void(const std::shared_ptr<const Configuration> &)> onConfiguration;
        std::function<void(const std::vector<ServerStatus> &)> onServers;
    };

    EntryControl(asio::io_context &context,
                 const EntrySettings &settings,
                 MetricsRegistry &metrics,
                 Subscribers subscribers);
    ~EntryControl();

    /// Binds the control address and joins the failure domain.
    Result<void, NetError> start();

    /// Announces to the failure domain that this host leaves.
    void leave();

    /// Whether a complete configuration is in force.
    bool isReady() const;

    std::uint64_t configurationVersion() const;
    std::size_t liveHostCount() const;

private:
    Task<> tickLoop();
    Task<> followLoop();
    /// Returns nothing if the call failed.
    Task<std::optional<FollowAnswer>> callPlatform(const FollowRequest &request);
    void applyAnswer(const FollowResult &result);
    /// Sends the queued messages and applies objects that came into force. Called after each event.
    void processPending();
    void applyInForce(const std::vector<VersionedObject> &objects);
    /// Tells the traffic threads the load of each configured backend server.
    void publishServers();

    asio::io_context &m_context;
    const EntrySettings &m_settings;
    MetricsRegistry &m_metrics;
    Subscribers m_subscribers;
    Random m_random;
    GossipNode m_node;
    ControlTransport m_transport;
    PlatformClient m_platform;
    WatchScheduler m_watchScheduler;
    ConfigurationBuilder m_builder;
    std::shared_ptr<const Configuration> m_configuration;
};

} // namespace Cardamomhill
