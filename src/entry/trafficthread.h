#pragma once

#include "control/serverdrain.h"
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
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace Cardamomhill
{

class AgentLink;
class Configuration;
class MetricsRegistry;
class RequestHandler;
struct BackendServer;
struct CallerRequest;
struct EntrySettings;
struct LinkedServer;
struct ServerStatus;

/// One traffic thread of an entry process. Of its mutable state, only the metrics are shared with other threads.
class TrafficThread
{
public:
    /// Called on the traffic thread when it has drained, with the reason. No request can begin after that.
    using DrainObserver = std::function<void(std::string_view)>;

    TrafficThread(const EntrySettings &settings,
                  unsigned index,
                  std::uint64_t incarnation,
                  MetricsRegistry &metrics,
                  DrainObserver onDrained);
    ~TrafficThread();

    Result<void, NetError> listen();

    /// Runs until the thread has drained.
    void run();

    asio::io_context &context();

    /// Applies a configuration; called on this thread.
    void apply(std::shared_ptr<const Configuration> configuration);

    /// Updates the states and loads of backend servers from membership; called on this thread.
    void updateServers(const std::vector<ServerStatus> &servers);

    /// Closes callers' connections after their answers, later the listening socket, and shortly before the process is
    /// killed what still runs. Ends run() when no connection is left or the time is over. Called on this thread.
    void startDraining();

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
    void requestStarted(RequestHandler &request);
    void requestEnded(RequestHandler &request);
    /// Time since startDraining(), or nothing before it.
    std::optional<Milliseconds> drainingTime() const;
    /// Whether a request may begin, given the longest time that it may take. Once the process drains, only requests
    /// that are likely to end before it is killed may.
    bool admitsRequest(const ServiceId &service, Milliseconds limit) const;
    void recordDuration(const ServiceId &service, Microseconds duration, CallDurations::End end);

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
    std::unordered_set<RequestHandler *> m_requests;
    /// The number of requests in progress, for other threads.
    std::atomic<std::size_t> m_requestCount{0};
    ServerDrain m_drain;
};

} // namespace Cardamomhill
