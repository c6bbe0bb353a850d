#include "entry/trafficthread.h"

#include "config/backendserver.h"
#include "config/configuration.h"
#include "config/organisation.h"
#include "config/profile.h"
#include "config/service.h"
#include "control/serverstatus.h"
#include "entry/agentlink.h"
#include "entry/callerrequest.h"
#include "entry/requesthandler.h"
#include "metrics/metricsregistry.h"
#include "net/httpexchange.h"
#include "net/steadynow.h"
#include "settings/entrysettings.h"

#include <boost/asio/executor_work_guard.hpp>

#include <algorithm>
#include <random>
#include <vector>

namespace Cardamomhill
{

namespace
{

/// The fraction of the host's memory that request bodies may take, once as received and once as parsed for the agent.
constexpr std::size_t BodyMemoryDivisor = 8;
constexpr std::size_t BytesPerMegabyte = 1024 * 1024;

HttpLimits httpLimitsOf(const EntrySettings &settings)
{
    HttpLimits limits;
    limits.maxTotalBodyBytes
        = settings.memoryMegabytes * BytesPerMegabyte / BodyMemoryDivisor / std::max(1U, settings.trafficThreads);
    return limits;
}

} // namespace

/// The link to the agent of a backend server, and the configuration of that server for which it was created.
struct LinkedServer {
    BackendServer configured;
    std::shared_ptr<AgentLink> link;
};

TrafficThread::TrafficThread(const EntrySettings &settings,
                             unsigned index,
                             std::uint64_t incarnation,
                             MetricsRegistry &metrics,
                             DrainObserver onDrained)
    : m_settings(settings)
    , m_peer(settings.host.value() + "/" + std::to_string(index))
    , m_incarnation(incarnation)
    , m_metrics(metrics)
    , m_http(m_context,
             httpLimitsOf(settings),
             [this](HttpExchange &exchange) -> Task<> {
                 RequestHandler handler(*this, exchange);
                 co_await handler.run();
             })
    , m_configuration(std::make_shared<const Configuration>())
    , m_routing(
          settings.failureDomain, std::max(1U, settings.concurrency / settings.trafficThreads), std::random_device()())
    , m_drain(m_context,
              m_http,
              EntryDrain(settings.drainGrace, settings.terminationGrace),
              {[this] { return requestCount(); },
               [this] {
                   for (auto *const request : m_requests) {
                       request->endEarly();
                   }
               },
               [this, onDrained = std::move(onDrained)](std::string_view reason) {
                   m_drain.log("thread-drained", reason);
                   m_context.stop();
                   onDrained(reason);
               }})
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

asio::io_context &TrafficThread::context()
{
    return m_context;
}

void TrafficThread::apply(std::shared_ptr<const Configuration> configuration)
{
    m_configuration = std::move(configuration);
    m_routing.apply(*m_configuration);
    retireChangedLinks();
    for (const auto *server : m_configuration->backendServers()) {
        auto &linked = m_links[server->id];
        if (!linked) {
            linked = std::make_unique<LinkedServer>(LinkedServer{*server, makeLink(*server)});
            linked->link->start();
        }
    }
}

void TrafficThread::retireChangedLinks()
{
    std::erase_if(m_links, [this](const auto &entry) {
        const auto *configured = m_configuration->backendServer(entry.first);
        if (configured != nullptr && *configured == entry.second->configured) {
            return false;
        }
        entry.second->link->retire();
        return true;
    });
}

std::shared_ptr<AgentLink> TrafficThread::makeLink(const BackendServer &server)
{
    AgentLink::Observers observers;
    observers.onLoad = [this, id = server.id](std::uint64_t incarnation, const LoadReport &report) {
        m_routing.updateLoad(id, incarnation, report, ReportSource::Reply);
    };
    observers.onState = [this, id = server.id](std::uint64_t incarnation, MemberState state) {
        m_routing.updateState(id, incarnation, state);
    };
    // Each link has its own peer name: an agent keeps only the newest connection of a peer, and a link that was retired
    // by a change of its server's configuration still runs its last attempts beside the new one.
    const auto peer = m_peer + "/" + std::to_string(m_nextLink++);
    return std::make_shared<AgentLink>(m_context,
                                       AgentLink::Identity{peer, m_incarnation},
                                       tcp::endpoint(asio::ip::make_address(server.agentAddress), server.agentPort),
                                       std::move(observers));
}

void TrafficThread::updateServers(const std::vector<ServerStatus> &servers)
{
    for (const auto &status : servers) {
        m_routing.updateState(status.server, status.load.incarnation, status.load.state);
        m_routing.updateLoad(status.server, status.load.incarnation, status.load.load, ReportSource::Gossip);
    }
}

void TrafficThread::startDraining()
{
    m_drain.start(steadyNow());
}

std::optional<Milliseconds> TrafficThread::drainingTime() const
{
    return m_drain.drainingTime();
}

bool TrafficThread::admitsRequest(const ServiceId &service, Milliseconds limit) const
{
    return m_drain.admit(service.value(), limit, Microseconds(0)).isAdmitted();
}

void TrafficThread::recordDuration(const ServiceId &service, Microseconds duration, CallDurations::End end)
{
    m_drain.recordCallDuration(service.value(), duration, end);
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

RequestRouting &TrafficThread::routing()
{
    return m_routing;
}

std::shared_ptr<AgentLink> TrafficThread::link(const BackendServerId &server) const
{
    const auto found = m_links.find(server);
    return found == m_links.end() ? nullptr : found->second->link;
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

void TrafficThread::requestStarted(RequestHandler &request)
{
    m_requests.insert(&request);
    m_requestCount = m_requests.size();
}

void TrafficThread::requestEnded(RequestHandler &request)
{
    m_requests.erase(&request);
    m_requestCount = m_requests.size();
}

} // namespace Cardamomhill
