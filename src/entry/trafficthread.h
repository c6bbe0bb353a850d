#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "core/result.h"
#include "entry/requestrouting.h"
#include "net/asio.h"
#include "net/httpserver.h"
#include "net/neterror.h"
#include "wire/execute.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Cardamomhill
{

class AgentLink;
class Configuration;
class MetricsRegistry;
struct BackendServer;
struct CallerRequest;
struct EntrySettings;
struct LinkedServer;
struct ServerStatus;

/// One traffic thread of an entry process. Of its mutable state, only the metrics are shared with other threads.
class TrafficThread
{
public:
    TrafficThread(const EntrySettings &settings, unsigned index, std::uint64_t incarnation, MetricsRegistry &metrics);
    ~TrafficThread();

    Result<void, NetError> listen();

    /// Runs until stop() is called.
    void run();
    void stop();

    asio::io_context &context();

    /// Applies a configuration; called on this thread.
    void apply(std::shared_ptr<const Configuration> configuration);

    /// Updates the states and loads of backend servers from membership; called on this thread.
    void updateServers(const std::vector<ServerStatus> &servers);

    /// Accepts no new connections from now on; called on this thread.
    void stopAccepting();

    /// Requests in progress; called by any thread.
    std::size_t requestCount() const;

    // Used by the request handlers of this thread.
    std::shared_ptr<const Configuration> configuration() const;
    MetricsRegistry &metrics();
    RequestId nextRequestId();
    RequestRouting &routing();
    /// The link to the agent of a backend server; null when the server is no longer configured.
    std::shared_ptr<AgentLink> link(const BackendServerId &server) const;
    Execute makeExecute(const CallerRequest &request);
    void requestStarted();
    void requestEnded();

private:
    void retireChangedLinks();
    std::shared_ptr<AgentLink> makeLink(const BackendServer &server);

    const EntrySettings &m_settings;
    std::string m_peer;
    std::uint64_t m_incarnation;
    MetricsRegistry &m_metrics;
    asio::io_context m_context;
    HttpServer m_http;
    std::shared_ptr<const Configuration> m_configuration;
    RequestRouting m_routing;
    std::map<BackendServerId, std::unique_ptr<LinkedServer>> m_links;
    std::uint64_t m_nextLink = 1;
    std::uint64_t m_nextAttempt = 1;
    std::uint64_t m_nextRequest = 1;
    std::atomic<std::size_t> m_requestCount{0};
};

} // namespace Cardamomhill
