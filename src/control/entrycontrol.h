#pragma once

#include "config/configurationbuilder.h"
#include "control/controltransport.h"
#include "control/platformclient.h"
#include "control/serverstatus.h"
#include "core/random.h"
#include "membership/gossipnode.h"
#include "net/asio.h"
#include "objectstore/watchfollower.h"

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

/// The control thread's part of an entry process: membership of the failure domain, configuration from peers, and the
/// watch on the platform while this host is a relay.
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

    /// Announces that this host leaves.
    void leave();

    /// A whole configuration is in force.
    bool isReady() const;

    std::uint64_t configurationVersion() const;
    std::size_t liveHostCount() const;

private:
    Task<> tickLoop();
    Task<> followLoop();
    Task<std::optional<FollowAnswer>> ask(const FollowRequest &request);
    void takeAnswer(const FollowResult &result);
    void afterEvent();
    void applyInForce(const std::vector<VersionedObject> &objects);
    void publishServers();

    asio::io_context &m_context;
    const EntrySettings &m_settings;
    MetricsRegistry &m_metrics;
    Subscribers m_subscribers;
    Random m_random;
    GossipNode m_node;
    ControlTransport m_transport;
    PlatformClient m_platform;
    WatchFollower m_follower;
    ConfigurationBuilder m_builder;
    std::shared_ptr<const Configuration> m_configuration;
};

} // namespace Cardamomhill
