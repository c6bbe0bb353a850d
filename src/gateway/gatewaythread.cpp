#include "gateway/gatewaythread.h"

#include "core/joinwithcommas.h"
#include "gateway/attempt.h"
#include "gateway/callcodec.h"
#include "gateway/callerroute.h"
#include "gateway/callhandler.h"
#include "gateway/evacuationrecord.h"
#include "gateway/gatewaysettings.h"
#include "gateway/hostlimits.h"
#include "logging/logging.h"
#include "metrics/metricsregistry.h"
#include "net/httpclientconnection.h"
#include "net/httpexchange.h"
#include "net/httplimits.h"
#include "net/spawn.h"
#include "net/steadynow.h"

#include <boost/asio/executor_work_guard.hpp>

#include <algorithm>
#include <random>

namespace Cardamomhill
{

namespace
{

constexpr Milliseconds TickPeriod{100};
constexpr std::uint64_t TicksPerMaintenance = 10;
constexpr std::uint64_t TicksPerEstimateLog = 100;
/// An engine service is taken for stopped after this part of the time for which engines hold calls, so that calls are
/// not sent for the whole of it.
constexpr int StallsPerSilence = 3;
/// Slowness (time of a server's work relative to its usual time) from which on its streams move to other servers. The
/// streams of one slow rank delay those of all ranks of its group.
constexpr double StreamRetrySlowness = 2;
/// Number of entry hosts among which the retry slack is divided until more are known.
constexpr std::uint32_t MinHostCount = 24;
/// Fraction of the retry slack that is shared out. The rest covers hosts that are not known yet.
constexpr double RetrySlackFraction = 0.85;
/// Fraction of the retry ratio that is used, since each host counts its calls in a window of its own.
constexpr double RetryRatioFraction = 0.83;

ServerTableOptions serverTableOptions(const GatewaySettings &settings)
{
    ServerTableOptions options;
    options.prompts.retention = settings.promptRetention;
    options.selectsGroups = settings.selectsGroups;
    return options;
}

} // namespace

GatewayThread::GatewayThread(const GatewaySettings &settings,
                             const CallCodec &codec,
                             MetricsRegistry &metrics,
                             Observers observers)
    : m_settings(settings)
    , m_startedAt(steadyNow())
    , m_retrySlackFrom(SteadyTime::max())
    , m_codec(codec)
    , m_metrics(metrics)
    , m_eventPauses(metrics.latency("event_pause_seconds"))
    , m_observers(std::move(observers))
    , m_httpServer(m_context,
                   httpLimitsOf(CallerLimits(), settings),
                   [this](HttpExchange &exchange) -> Task<> {
                       CallHandler handler(*this, exchange);
                       co_await handler.run();
                   })
    , m_callerLoad(metrics)
    , m_servers(serverTableOptions(settings))
    , m_random(std::random_device()())
    , m_maxHostCount(MinHostCount)
    , m_reachability(settings.failureDomain)
    , m_peerExchange(m_context,
                     settings,
                     m_random(),
                     m_servers,
                     metrics,
                     {[this](const SlowdownFactors &slowdownFactors) { applySlowdownFactors(slowdownFactors); },
                      [this](const FailureDomainId &domain) { m_reachability.recordNotice(domain, steadyNow()); },
                      m_observers.onUnresponsiveHosts,
                      m_observers.onDomainHosts,
                      [this](const GroupNotice &notice) {
                          applyGroupNotice(notice);
                          m_observers.onGroupNotice(notice);
                      },
                      [this](const PromptNotice &notice) { m_promptGuard.processNotice(notice); },
                      [this](const HostId &host) { m_servers.coldServers().addHost(host, steadyNow()); }})
    , m_promptGuard(m_context,
                    settings.host.value(),
                    metrics,
                    m_random(),
                    {[this](const PromptNotice &notice) { m_peerExchange.sendPromptNotice(notice); },
                     [this] { cancelBlockedAttempts(); },
                     m_observers.onBlockedParts})
    , m_drain(m_context,
              m_httpServer,
              EntryDrain(settings.drainGrace, settings.terminationGrace),
              {[this] { return callCount(); },
               [this] {
                   for (auto *const call : m_calls) {
                       call->endEarly();
                   }
               },
               [this](std::string_view reason) {
                   m_drain.log("exit", reason);
                   m_context.stop();
                   m_observers.onDrained();
               }})
{
    m_servers.coldServers() = ColdServerLimit({settings.host, settings.coldOvershoot, settings.coldSlack});
    m_httpServer.setHeadCheck([this](const auto &head) { return refusesHead(head); });
}

GatewayThread::~GatewayThread() = default;

Result<void, NetError> GatewayThread::listen()
{
    BOOST_OUTCOME_TRY(m_httpServer.listen(m_settings.listen, false));
    const auto &peer = m_settings.peerListen;
    BOOST_OUTCOME_TRY(m_peerExchange.listen({peer.address(), peer.port()}));
    spawn(m_context.get_executor(), "gateway-tick", tickLoop());
    return success();
}

void GatewayThread::run()
{
    const auto guard = asio::make_work_guard(m_context);
    m_context.run();
}

void GatewayThread::stop()
{
    m_context.stop();
}

asio::io_context &GatewayThread::context()
{
    return m_context;
}

std::size_t GatewayThread::receiveQueueBytes() const
{
    return socketQueueBytesOf(m_settings);
}

bool GatewayThread::refusesHead(const HttpRequest::header_type &head) const
{
    const auto call = m_codec.parseCall(head);
    return call.has_error() || findCallerRoute(m_configuration.get(), m_servers.hasServers(), call.value()).has_error();
}

void GatewayThread::applyConfiguration(std::shared_ptr<const TrafficConfiguration> configuration)
{
    m_configuration = std::move(configuration);
    m_httpServer.setLimits(httpLimitsOf(m_configuration->limits(), m_settings));
    m_servers.coldServers().setServices(m_configuration->services());
}

void GatewayThread::applyServers(const ServerChanges &changes)
{
    m_servers.coldServers().apply(changes, steadyNow());
    if (!changes.hasChangedServers()) {
        return;
    }
    for (const auto &server : changes.updated) {
        const auto *known = m_servers.server(server.id);
        if (known != nullptr && processOf(*known) != processOf(server)) {
            m_connectionPool.closeAll(server.id);
        }
    }
    m_servers.apply(changes);
    for (const auto &id : changes.removed) {
        m_connectionPool.closeAll(id);
    }
    // A registration may have moved to an evacuated domain.
    closeEvacuatedConnections();
}

void GatewayThread::applyEvacuations(EvacuatedDomains evacuated)
{
    const auto before = m_servers.evacuated();
    m_servers.setEvacuated(std::move(evacuated));
    m_hasEvacuations = true;
    closeEvacuatedConnections();
    // Servers that got no calls may have become cold meanwhile.
    for (const auto &[domain, endedAt] : m_servers.evacuated().endedAt) {
        if (before.endOf(domain) != endedAt) {
            m_servers.coldServers().recordRestored(m_servers.serversIn(domain), steadyNow());
        }
    }
    recordEvacuations(*this, before);
}

void GatewayThread::closeEvacuatedConnections()
{
    for (const auto &domain : m_servers.evacuated().domains) {
        for (const auto &id : m_servers.serversIn(domain)) {
            m_connectionPool.closeAll(id);
        }
    }
}

bool GatewayThread::knowsEvacuations() const
{
    return m_hasEvacuations || !m_settings.evacuationLimit;
}

void GatewayThread::recordLeaving(const ServerProcess &process, const AnswerHead &answer)
{
    // Another process has the address then, and states nothing about the one that the call was sent to.
    if (answer.isOtherInstance) {
        return;
    }
    if (answer.isLeaving && m_servers.recordLeaving(process, steadyNow())) {
        m_connectionPool.closeAll(process.id);
        m_metrics.counter("servers_leaving_stated_total").add();
        logEvent(LogLevel::Info,
                 "server-leaving",
                 {{"server", process.id.value()}, {"address", process.address}, {"source", "answer"}});
    }
}

void GatewayThread::recordHold(const ServerProcess &process, const AnswerHead &answer)
{
    const auto time = answer.holdTime();
    if (time && m_servers.recordHold(process, *time, steadyNow())) {
        m_metrics.counter("server_holds_total").add();
        logEvent(LogLevel::Info, "server-held", {{"server", process.id.value()}, {"retry_after_ms", time->count()}});
    }
}

void GatewayThread::recordColdRemaining(const BackendServerId &server, const AnswerHead &answer)
{
    if (answer.coldRemaining && !answer.isOtherInstance) {
        m_servers.coldServers().recordStated({server, *answer.coldRemaining}, steadyNow());
    }
}

bool GatewayThread::mayReuseConnection(const ServerProcess &process) const
{
    const auto *known = m_servers.server(process.id);
    return known != nullptr && processOf(*known) == process && m_servers.isStaying(process)
        && !m_servers.isEvacuated(process.id);
}

void GatewayThread::setOwnSlowServers(const SlowdownFactors &slowdownFactors)
{
    m_peerExchange.setOwnSlowServers(slowdownFactors);
}

void GatewayThread::applySlowdownFactors(const SlowdownFactors &slowdownFactors)
{
    m_servers.setSlowdownFactors(slowdownFactors);
    const auto textOf = [this](const auto &entry) {
        return m_servers.nameOf(entry.first).append(":").append(std::to_string(entry.second));
    };
    logEvent(LogLevel::Info, "slow-servers", {{"servers", joinWithCommas(slowdownFactors, textOf)}});
    for (auto *const attempt : m_attempts) {
        const auto found = slowdownFactors.find(serverKey(attempt->server()));
        if (found != slowdownFactors.end() && found->second >= StreamRetrySlowness) {
            attempt->moveElsewhere("the server turned slow");
        }
    }
}

void GatewayThread::sendGroupNotice(const GroupNotice &notice)
{
    applyGroupNotice(notice);
    m_peerExchange.sendGroupNotice(notice);
}

void GatewayThread::applyGroupNotice(const GroupNotice &notice)
{
    const GroupId group(notice.group);
    if (notice.event == GroupEvent::Opened && m_servers.recordGroupOpened(group, notice.epoch)) {
        if (const auto service = m_servers.serviceOf(group)) {
            serviceOutage(*service).recordProgress(steadyNow());
        }
    }
}

void GatewayThread::setPeers(const std::vector<tcp::endpoint> &hosts)
{
    m_maxHostCount = std::max(m_maxHostCount, static_cast<std::uint32_t>(hosts.size()) + 1);
    std::vector<asio::ip::udp::endpoint> peers;
    peers.reserve(hosts.size());
    for (const auto &host : hosts) {
        peers.emplace_back(host.address(), host.port());
    }
    m_peerExchange.setPeers(std::move(peers));
}

void GatewayThread::setHostNames(const std::set<HostId> &names)
{
    // A new host may send calls to cold servers before the next list shows it.
    auto hosts = m_peerExchange.heardHosts();
    hosts.insert(names.begin(), names.end());
    m_servers.coldServers().setHosts(hosts, steadyNow());
}

void GatewayThread::setRegistered(bool isFirstProcess)
{
    // The other hosts need a moment to learn of a new host.
    m_servers.coldServers().setRegistered(isFirstProcess ? steadyNow() : m_startedAt);
    m_retrySlackFrom = isFirstProcess ? m_startedAt : m_startedAt + m_settings.retryWindow;
    for (auto &[service, budget] : m_retryBudgets) {
        budget.setSlackFrom(m_retrySlackFrom);
    }
}

void GatewayThread::startDraining(SteadyTime signalNotSentBefore)
{
    m_drain.start(signalNotSentBefore);
}

bool GatewayThread::canServe() const
{
    return m_canServe;
}

void GatewayThread::recordArrival(const BackendServerId &server, SteadyTime now)
{
    if (const auto group = m_servers.recordReceived(server, now)) {
        m_observers.onSlowGroup(*group);
    }
}

void GatewayThread::recordConnectResult(const FailureDomainId &domain, bool success)
{
    m_reachability.recordConnectionAttempt(domain, success, steadyNow());
}

void GatewayThread::recordConnectTime(const FailureDomainId &domain, Microseconds time)
{
    m_servers.recordConnectTime(domain, time, steadyNow());
}

bool GatewayThread::canServeAllEngines() const
{
    if (!m_configuration) {
        return true;
    }
    const auto &services = m_configuration->services();
    return std::all_of(services.begin(), services.end(), [this](const auto &entry) {
        return !entry.second.engine || m_servers.canServe(entry.first);
    });
}

void GatewayThread::checkReachability()
{
    auto unreachable = m_reachability.unreachable(steadyNow());
    if (unreachable != m_servers.unreachable()) {
        const auto names = joinWithCommas(unreachable, &FailureDomainId::value);
        logEvent(LogLevel::Warning, "unreachable-domains", {{"failure_domains", names}});
        m_servers.setUnreachable(std::move(unreachable), steadyNow());
    }
    // Hosts on the larger side of a network partition can serve the callers that this one cannot.
    const bool canServe = !m_reachability.isIsolated(steadyNow()) || canServeAllEngines();
    if (canServe != m_canServe) {
        logEvent(LogLevel::Warning, canServe ? "serving-again" : "cut-off", {{"calls", m_callCount.load()}});
        m_canServe = canServe;
        m_httpServer.setCloseAfterAnswers(m_drain.isDraining() || !canServe);
    }
}

std::optional<Milliseconds> GatewayThread::drainingTime() const
{
    return m_drain.drainingTime();
}

CallAdmission GatewayThread::admitCall(const Route &route, Milliseconds limit) const
{
    const auto oldestRunning = m_drain.isDraining() ? oldestCallAge(route) : Microseconds(0);
    return m_drain.admit(route.hostName + route.pathPrefix, limit, oldestRunning);
}

Microseconds GatewayThread::oldestCallAge(const Route &route) const
{
    const auto now = steadyNow();
    Microseconds oldest{0};
    for (const auto *const call : m_calls) {
        if (call->route().hostName == route.hostName && call->route().pathPrefix == route.pathPrefix) {
            oldest = std::max(oldest, std::chrono::duration_cast<Microseconds>(now - call->startedAt()));
        }
    }
    return oldest;
}

StopSummary &GatewayThread::stopSummary()
{
    return m_stopSummary;
}

void GatewayThread::recordCallDuration(const Route &route, Microseconds duration, CallDurations::End end)
{
    m_drain.recordCallDuration(route.hostName + route.pathPrefix, duration, end);
}

std::size_t GatewayThread::callCount() const
{
    return m_callCount;
}

void GatewayThread::callStarted(CallHandler &call)
{
    m_calls.insert(&call);
    m_callCount = m_calls.size();
}

void GatewayThread::callEnded(CallHandler &call)
{
    m_calls.erase(&call);
    m_callCount = m_calls.size();
}

const std::shared_ptr<const TrafficConfiguration> &GatewayThread::configuration() const
{
    return m_configuration;
}

const CallCodec &GatewayThread::codec() const
{
    return m_codec;
}

MetricsRegistry &GatewayThread::metrics()
{
    return m_metrics;
}

LatencySummary &GatewayThread::eventPauses()
{
    return m_eventPauses;
}

ServerTable &GatewayThread::servers()
{
    return m_servers;
}

std::unordered_set<Attempt *> &GatewayThread::attempts()
{
    return m_attempts;
}

bool GatewayThread::hasBegunStreamAt(const BackendServerId &server) const
{
    const auto *known = m_servers.server(server);
    if (known == nullptr || !known->groupMembership) {
        return false;
    }
    const auto isBegunThere = [this, &group = known->groupMembership->group](const Attempt *attempt) {
        const auto *other = m_servers.server(attempt->server());
        return attempt->hasEvents() && other != nullptr && other->groupMembership
            && other->groupMembership->group == group;
    };
    return std::any_of(m_attempts.begin(), m_attempts.end(), isBegunThere);
}

BackendConnectionPool &GatewayThread::connectionPool()
{
    return m_connectionPool;
}

Random &GatewayThread::random()
{
    return m_random;
}

PromptGuard &GatewayThread::promptGuard()
{
    return m_promptGuard;
}

void GatewayThread::cancelBlockedAttempts()
{
    for (auto *const attempt : m_attempts) {
        attempt->cancelIfBlocked();
    }
}

RetryBudget &GatewayThread::retryBudget(const ServiceId &service)
{
    const auto found = m_retryBudgets.find(service);
    if (found != m_retryBudgets.end()) {
        return found->second;
    }
    RetryBudgetOptions options;
    options.ratio = RetryRatioFraction * m_settings.retryRatio;
    options.slack = retrySlackShare();
    options.window = m_settings.retryWindow;
    return m_retryBudgets.emplace(service, RetryBudget(options, m_retrySlackFrom)).first->second;
}

CallQueue &GatewayThread::callQueue(const ServiceId &service)
{
    return m_callQueues[service];
}

AdmissionPacer &GatewayThread::admissionPacer(const ServiceId &service)
{
    return m_admissionPacers[service];
}

ServiceOutage &GatewayThread::serviceOutage(const ServiceId &service)
{
    const auto found = m_serviceOutages.find(service);
    if (found != m_serviceOutages.end()) {
        return found->second;
    }
    ServiceOutageOptions options;
    if (m_settings.engineStall) {
        options.silence = *m_settings.engineStall / StallsPerSilence;
    }
    return m_serviceOutages.emplace(service, ServiceOutage(options)).first->second;
}

std::size_t GatewayThread::liveHostCount() const
{
    return m_liveHostCount;
}

double GatewayThread::retrySlackShare() const
{
    return RetrySlackFraction * m_settings.retrySlack / m_maxHostCount;
}

void GatewayThread::updateHostCount()
{
    // Hosts on the other side of a network partition go on using their share, so the number never decreases.
    m_liveHostCount = m_peerExchange.hostCount();
    m_maxHostCount = std::max(m_maxHostCount, static_cast<std::uint32_t>(m_liveHostCount));
    for (auto &[service, budget] : m_retryBudgets) {
        budget.setSlack(retrySlackShare());
    }
}

void GatewayThread::updateGauges()
{
    auto retriesLeft = static_cast<std::uint32_t>(retrySlackShare());
    for (const auto &[service, budget] : m_retryBudgets) {
        retriesLeft = std::min(retriesLeft, budget.retriesLeft(steadyNow()));
    }
    m_metrics.gauge("retries_left").set(retriesLeft);
    m_callerLoad.record(m_httpServer, steadyNow());
    m_metrics.gauge("calls_in_progress").set(static_cast<std::int64_t>(m_callCount.load()));
    std::size_t waiting = 0;
    for (const auto &[service, queue] : m_callQueues) {
        waiting += queue.size();
    }
    m_metrics.gauge("calls_waiting").set(static_cast<std::int64_t>(waiting));
    m_metrics.gauge("attempts_in_progress").set(static_cast<std::int64_t>(m_attempts.size()));
    m_metrics.gauge("kept_connections").set(static_cast<std::int64_t>(m_connectionPool.size()));
    m_metrics.gauge("hosts_heard").set(static_cast<std::int64_t>(m_peerExchange.hostCount()));
    m_metrics.gauge("unreachable_domains").set(static_cast<std::int64_t>(m_servers.unreachable().size()));
}

void GatewayThread::logColdServers()
{
    const auto now = steadyNow();
    const auto changes = m_servers.coldServers().takeChanges(now);
    for (const auto &change : changes) {
        if (change.reason) {
            logEvent(LogLevel::Info,
                     "server-cold",
                     {{"server", change.server.value()},
                      {"reason", nameOf(*change.reason)},
                      {"remaining_ms", change.remaining.count()},
                      {"share", change.callShare}});
        } else {
            logEvent(LogLevel::Info, "server-warm", {{"server", change.server.value()}});
        }
    }
    if (!changes.empty()) {
        m_metrics.gauge("cold_servers").set(static_cast<std::int64_t>(m_servers.coldServers().coldCount(now)));
    }
}

void GatewayThread::logEstimates()
{
    for (const auto &estimate : m_servers.estimates(steadyNow())) {
        logEvent(LogLevel::Info,
                 "server-estimate",
                 {{"service", estimate.service.value()},
                  {"server", estimate.server.value()},
                  {"failure_domain", estimate.failureDomain.value()},
                  {"service_ms", estimate.serviceMs},
                  {"round_trip_ms", estimate.roundTripMs},
                  {"calls", estimate.calls},
                  {"expected_ms", estimate.expectedMs},
                  {"samples", estimate.samples}});
    }
}

Milliseconds GatewayThread::uptime() const
{
    return std::chrono::duration_cast<Milliseconds>(steadyNow() - m_startedAt);
}

Milliseconds GatewayThread::addJitter(Milliseconds time, double part)
{
    std::uniform_real_distribution<double> factor(1, 1 + part);
    return Milliseconds(static_cast<Milliseconds::rep>(static_cast<double>(time.count()) * factor(m_random)));
}

Task<> GatewayThread::tickLoop()
{
    asio::steady_timer timer(m_context);
    SystemError error;
    std::uint64_t ticks = 0;
    while (!error) {
        if (++ticks % TicksPerMaintenance == 0) {
            m_connectionPool.closeExpired(steadyNow());
            updateHostCount();
            updateGauges();
        }
        if (ticks % TicksPerEstimateLog == 0) {
            logEstimates();
        }
        m_promptGuard.tick(m_peerExchange.hostCount());
        m_peerExchange.tick();
        checkReachability();
        logColdServers();
        const auto now = steadyNow();
        for (auto *const attempt : m_attempts) {
            attempt->checkProgress(now);
        }
        timer.expires_after(TickPeriod);
        co_await timer.async_wait(storeError(error));
    }
}

} // namespace Cardamomhill
