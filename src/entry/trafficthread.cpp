#include "entry/trafficthread.h"

#include "config/backendserver.h"
#include "config/configuration.h"
#include "config/organisation.h"
#include "config/profile.h"
#include "config/service.h"
#include "entry/agentlink.h"
#include "entry/callerrequest.h"
#include "entry/requesthandler.h"
#include "logging/logging.h"
#include "metrics/metricsregistry.h"
#include "net/httpexchange.h"
#include "net/steadynow.h"
#include "settings/entrysettings.h"

#include <boost/asio/executor_work_guard.hpp>

#include <vector>

namespace Cardamomhill
{

struct TrafficThread::Server {
    BackendServer configured;
    std::shared_ptr<AgentLink> link;
    std::uint32_t inFlight = 0;
    bool isLeaving = false;
    bool isReachable = true;
};

TrafficThread::TrafficThread(const EntrySettings &settings,
                             unsigned index,
                             std::uint64_t incarnation,
                             MetricsRegistry &metrics)
    : m_settings(settings)
    , m_peer(settings.host.value() + "/" + std::to_string(index))
    , m_incarnation(incarnation)
    , m_metrics(metrics)
    , m_http(m_context,
             HttpLimits(),
             [this](HttpExchange &exchange) -> Task<> {
                 RequestHandler handler(*this, exchange);
                 co_await handler.run();
             })
    , m_configuration(std::make_shared<const Configuration>())
{
}

TrafficThread::~TrafficThread() = default;

Result<void, NetError> TrafficThread::listen()
{
    return m_http.listen(m_settings.listen, m_settings.trafficThreads > 1);
}

void TrafficThread::run()
{
    const auto guard = asio::make_work_guard(m_context);
    m_context.run();
}

void TrafficThread::stop()
{
    m_context.stop();
}

asio::io_context &TrafficThread::context()
{
    return m_context;
}

void TrafficThread::apply(std::shared_ptr<const Configuration> configuration)
{
    m_configuration = std::move(configuration);
    for (auto server = m_servers.begin(); server != m_servers.end();) {
        const auto *configured = m_configuration->backendServer(server->first);
        if (configured != nullptr && *configured == server->second->configured) {
            ++server;
            continue;
        }
        server->second->link->retire();
        server = m_servers.erase(server);
    }
    for (const auto *server : m_configuration->backendServers()) {
        addServer(*server);
    }
}

void TrafficThread::addServer(const BackendServer &server)
{
    auto &entry = m_servers[server.id];
    if (!entry) {
        entry = std::make_unique<Server>();
        entry->configured = server;
        entry->link = makeLink(server);
        entry->link->start();
    }
}

std::shared_ptr<AgentLink> TrafficThread::makeLink(const BackendServer &server)
{
    const auto update = [this, id = server.id](auto change) {
        const auto found = m_servers.find(id);
        if (found != m_servers.end()) {
            change(*found->second);
        }
    };
    AgentLink::Observers observers;
    observers.onLoad = [](const LoadReport &) {};
    observers.onLeaving = [update] { update([](Server &entry) { entry.isLeaving = true; }); };
    observers.onReachable
        = [update](bool reachable) { update([reachable](Server &entry) { entry.isReachable = reachable; }); };
    return std::make_shared<AgentLink>(m_context,
                                       AgentLink::Identity{m_peer, m_incarnation},
                                       tcp::endpoint(asio::ip::make_address(server.agentAddress), server.agentPort),
                                       std::move(observers));
}

void TrafficThread::stopAccepting()
{
    m_http.stopAccepting();
}

std::size_t TrafficThread::requestCount() const
{
    return m_requestCount;
}

std::shared_ptr<const Configuration> TrafficThread::configuration() const
{
    return m_configuration;
}

MetricsRegistry &TrafficThread::metrics()
{
    return m_metrics;
}

RequestId TrafficThread::nextRequestId()
{
    return RequestId(m_peer + "/" + std::to_string(m_incarnation) + "/" + std::to_string(m_nextRequest++));
}

std::optional<TrafficThread::Chosen> TrafficThread::chooseBackendServer(const CallerRequest &request,
                                                                        const std::set<BackendServerId> &tried)
{
    Server *best = nullptr;
    for (auto &[id, server] : m_servers) {
        if (server->configured.service != request.service->id || server->isLeaving || tried.count(id) > 0) {
            continue;
        }
        if (best == nullptr || server->inFlight < best->inFlight) {
            best = server.get();
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    ++best->inFlight;
    logEvent(LogLevel::Info,
             "routed",
             {{"request", request.id.value()},
              {"organisation", request.organisation->id.value()},
              {"service", request.service->id.value()},
              {"profile", request.profile->id.value()},
              {"server", best->configured.id.value()},
              {"reason", "least-in-flight"}});
    return Chosen{best->configured.id, best->link};
}

Execute TrafficThread::makeExecute(const CallerRequest &request)
{
    const auto remaining = std::chrono::duration_cast<Milliseconds>(request.deadline - steadyNow());
    Execute execute;
    execute.attempt = m_nextAttempt++;
    execute.request = request.id.value();
    execute.service = request.service->id.value();
    execute.organisation = request.organisation->id.value();
    execute.method = request.method;
    execute.target = request.target;
    execute.contentType = request.contentType;
    execute.body = request.body;
    execute.idempotencyKey = request.isIdempotent ? std::string() : request.idempotencyKey;
    execute.remainingMs = static_cast<std::uint64_t>(std::max<std::int64_t>(remaining.count(), 1));
    execute.priority = static_cast<std::uint8_t>(request.profile->trafficClass);
    return execute;
}

void TrafficThread::requestStarted()
{
    ++m_requestCount;
}

void TrafficThread::requestEnded()
{
    --m_requestCount;
}

void TrafficThread::attemptEnded(const BackendServerId &server, RelayEnd)
{
    const auto found = m_servers.find(server);
    if (found != m_servers.end() && found->second->inFlight > 0) {
        --found->second->inFlight;
    }
}

bool TrafficThread::mayRetry()
{
    return true;
}

} // namespace Cardamomhill
