#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "core/random.h"
#include "core/result.h"
#include "gateway/peerexchange.h"
#include "gateway/upstreampool.h"
#include "net/asio.h"
#include "net/httpserver.h"
#include "net/neterror.h"
#include "routing/retrybudget.h"
#include "traffic/reachability.h"
#include "traffic/servertable.h"
#include "traffic/trafficconfiguration.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Cardamomhill
{

class Attempt;
class CallDialect;
class LatencySummary;
class MetricsRegistry;
struct GatewaySettings;

/// The thread that carries traffic, and all that it decides by.
class GatewayThread
{
public:
    /// Told on the traffic thread.
    struct Observers {
        /// The steps of a group have just turned slow.
        std::function<void(const GroupId &)> onSlowGroup;
        /// Other entry hosts that have turned silent.
        std::function<void(const std::set<std::string> &)> onSilentHosts;
        /// The other live hosts of the own failure domain, whenever they change.
        std::function<void(const std::vector<RelayHost> &)> onDomainHosts;
    };

    GatewayThread(const GatewaySettings &settings,
                  const CallDialect &dialect,
                  MetricsRegistry &metrics,
                  Observers observers);
    ~GatewayThread();

    Result<void, NetError> listen();
    void run();
    void stop();
    asio::io_context &context();

    void apply(std::shared_ptr<const TrafficConfiguration> configuration);
    void applyServers(const ServerChanges &changes);
    /// Slow ranks that this process knows from its own reports.
    void setOwnSlowness(const ServerSlowness &slowness);
    void setPeers(const std::vector<tcp::endpoint> &hosts);
    /// The process ends soon: callers should connect elsewhere.
    void startDraining();
    void stopAccepting();
    /// Connections of callers. Only the traffic thread may ask.
    std::size_t connectionCount() const;

    /// Whether this host can serve at all, or is cut off from what it needs. Any thread may ask.
    bool canServe() const;

    /// Something arrived from a backend server.
    void arrivedFrom(const BackendServerId &server, SteadyTime now);

    /// A connection to a backend server was made, or not.
    void connected(const FailureDomainId &domain, bool success);

    /// Calls in progress. Any thread may ask.
    std::size_t callCount() const;
    void callStarted();
    void callEnded();

    const std::shared_ptr<const TrafficConfiguration> &configuration() const;
    const CallDialect &dialect() const;
    MetricsRegistry &metrics();
    /// Recorded for each event of a stream, so it is looked up only once.
    LatencySummary &eventPauses();
    ServerTable &servers();
    /// The attempts that were sent and have not ended.
    std::unordered_set<Attempt *> &attempts();
    UpstreamPool &pool();
    Random &random();
    RetryBudget &budget(const ServiceId &service);

    /// A time that is lengthened by a random part of itself.
    Milliseconds spread(Milliseconds time, double part);

private:
    Task<> tickLoop();
    void checkReachability();
    bool servesEngines() const;
    /// Retries that this host may save up for a service: its part of what all hosts may make.
    std::uint32_t retryBurst() const;
    void countHosts();
    void publishGauges();
    void applySlowness(const ServerSlowness &slowness);

    const GatewaySettings &m_settings;
    const CallDialect &m_dialect;
    MetricsRegistry &m_metrics;
    LatencySummary &m_eventPauses;
    Observers m_observers;
    asio::io_context m_context;
    HttpServer m_http;
    std::shared_ptr<const TrafficConfiguration> m_configuration;
    ServerTable m_servers;
    UpstreamPool m_pool;
    Random m_random;
    /// The greatest number of entry hosts that were heard at once.
    std::uint32_t m_mostHosts;
    Reachability m_reachability;
    PeerExchange m_peers;
    bool m_isDraining = false;
    std::atomic<bool> m_canServe{true};
    std::unordered_map<ServiceId, RetryBudget> m_budgets;
    std::unordered_set<Attempt *> m_attempts;
    std::atomic<std::size_t> m_callCount{0};
};

} // namespace Cardamomhill
