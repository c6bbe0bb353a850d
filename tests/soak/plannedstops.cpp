#include "soak/plannedstops.h"

#include "control/controladdress.h"
#include "net/httpclient.h"
#include "net/spawn.h"
#include "net/steadynow.h"
#include "soak/freeendpoint.h"
#include "soak/stopverdict.h"

#include <nlohmann/json.hpp>

#include <array>
#include <csignal>
#include <fstream>
#include <iostream>
#include <stdexcept>

namespace Cardamomhill
{

namespace
{

/// As documents.h has it.
constexpr Milliseconds RouteTimeout{2000};
constexpr Milliseconds RefusalLimit{200};
/// The timeout of streams that groups of engines serve.
constexpr Milliseconds EngineRouteTimeout{8000};
/// Longest time for which a switch of maps may stop a group.
constexpr Milliseconds MaxHold{250};
const std::string EngineService = "model";
constexpr Milliseconds StartTimeout{15000};
constexpr Milliseconds ReadinessTimeout{1000};
constexpr Milliseconds PollInterval{5};
constexpr Milliseconds MaxRestartDelay{300};
constexpr Milliseconds MaxSeriesPause{800};
constexpr std::size_t HostsPerCaller = 3;
constexpr int SlotsPerServer = 1000;
constexpr unsigned Ok = 200;
constexpr unsigned Unavailable = 503;

/// Where the drain grace leaves room, callers open connections to a host also after it has stopped listening.
Milliseconds drainGrace(Milliseconds terminationGrace)
{
    return terminationGrace * 5 / 16;
}

std::string idOf(const HttpRequest &request)
{
    return std::string(request["Cardamomhill-Request-Id"]);
}

std::string milliseconds(SteadyTime::duration time)
{
    return std::to_string(std::chrono::duration_cast<Milliseconds>(time).count()) + " ms";
}

} // namespace

PlannedStops::PlannedStops(PlannedStopOptions options)
    : m_options(std::move(options))
    , m_random(m_options.soak.seed)
    , m_store(m_context)
{
    const auto storeAddress = freeEndpoint(m_context);
    const auto listening = m_store.listen(storeAddress);
    if (listening.has_error()) {
        throw std::runtime_error(listening.error().message());
    }
    for (std::size_t i = 0; i < m_options.soak.servers; ++i) {
        const auto id = "server" + std::to_string(i);
        m_servers.push_back(std::make_unique<DirectBackend>(
            m_context,
            id,
            [this, id](const HttpRequest &request) { recordRun(request, id); },
            [this, id](const HttpRequest &request) { recordAnswer(request, id); }));
        const auto serving = m_servers.back()->listen({asio::ip::address_v4::loopback(), 0});
        if (serving.has_error()) {
            throw std::runtime_error(serving.error().message());
        }
        const ServerEntry entry{id, controlAddress(m_servers.back()->endpoint()).value(), 1, false};
        auto document = nlohmann::json::parse(serverDocument(entry));
        document["slots"] = SlotsPerServer;
        document["zone"] = failureDomain(i);
        m_store.put("servers", id, document);
    }
    addGroups();
    auto settings = "drain_grace_ms: " + std::to_string(drainGrace(m_options.terminationGrace).count()) + "\n";
    if (m_options.hasGraceSetting) {
        const auto grace = std::chrono::duration<double>(m_options.terminationGrace).count();
        settings += "termination_grace_s: " + std::to_string(grace) + "\n";
    }
    if (!m_groups.empty()) {
        settings += "coordinate_groups: true\n";
    }
    for (std::size_t i = 0; i < m_options.soak.hosts; ++i) {
        m_hosts.push_back(std::make_unique<StopHost>());
        m_hosts.back()->host = std::make_unique<SoakHost>(m_context,
                                                          "host" + std::to_string(i),
                                                          storeAddress,
                                                          m_options.soak.program,
                                                          m_options.soak.directory,
                                                          settings);
        m_hosts.back()->host->setFailureDomain(failureDomain(i));
    }
    for (std::size_t i = 0; i < m_options.soak.callers; ++i) {
        std::map<std::size_t, StopHost *> hosts;
        for (std::size_t j = 0; j < HostsPerCaller; ++j) {
            const auto host = (i + j) % m_hosts.size();
            hosts[host] = m_hosts[host].get();
        }
        m_callers.push_back(std::make_unique<StopCaller>(
            m_context, "caller" + std::to_string(i), m_options.soak.seed * 1000 + i, hosts, m_ledger, m_calls));
        if (m_options.hasPauses) {
            m_callers.back()->addPauses();
        }
        if (!m_groups.empty()) {
            m_callers.back()->useEngineGroups();
        }
    }
}

void PlannedStops::addGroups()
{
    auto configuration = nlohmann::json::parse(configurationDocument(1));
    for (std::size_t i = 0; i < m_options.groups; ++i) {
        auto options = m_options.group;
        options.name = "group" + std::to_string(i);
        options.service = EngineService;
        options.failureDomains = m_options.failureDomains;
        options.seed = m_options.soak.seed * 1000 + i;
        m_groups.push_back(std::make_unique<EngineGroup>(
            m_context,
            options,
            EngineGroup::Observers{[this](const std::string &id) {
                                       m_ledger.ran(id, "workshop");
                                       m_calls[id].lastRunAt = steadyNow();
                                       m_calls[id].answeredAt.reset();
                                       m_calls[id].isBrokenOff = false;
                                   },
                                   [this](const std::string &id) { m_calls[id].lastEventAt = steadyNow(); },
                                   [this](const std::string &id) { m_calls[id].answeredAt = steadyNow(); },
                                   [this](const std::string &id) { m_calls[id].isBrokenOff = true; }}));
        const auto started = m_groups.back()->start(m_store);
        if (started.has_error()) {
            throw std::runtime_error(started.error().message());
        }
    }
    if (!m_groups.empty()) {
        auto &stream = configuration["routes"][2];
        stream["service"] = EngineService;
        stream["timeout-ms"] = EngineRouteTimeout.count();
        stream["target-latency-ms"] = 400;
        configuration["services"].push_back(EngineGroup::serviceDocument(EngineService));
    }
    m_store.put("config", "main", configuration);
}

void PlannedStops::run()
{
    spawn(m_context.get_executor(), "planned-stops", runAll());
    spawn(m_context.get_executor(), "planned-stops-delay", measureDelay());
    m_context.run();
    judgeCalls();
    judgeGroups();
}

const Ledger &PlannedStops::ledger() const
{
    return m_ledger;
}

const std::map<std::string, std::size_t> &PlannedStops::counts() const
{
    return m_counts;
}

Task<> PlannedStops::sleep(Milliseconds time)
{
    asio::steady_timer timer(m_context, time);
    SystemError ignored;
    co_await timer.async_wait(storeError(ignored));
}

std::int64_t PlannedStops::randomUpTo(std::int64_t largest)
{
    return std::uniform_int_distribution<std::int64_t>(0, largest)(m_random);
}

Task<> PlannedStops::measureDelay()
{
    while (true) {
        const auto begun = steadyNow();
        co_await sleep(PollInterval);
        const auto delay = std::chrono::duration_cast<Milliseconds>(steadyNow() - begun - PollInterval).count();
        auto &longest = m_counts["longest-own-delay-ms"];
        longest = std::max(longest, static_cast<std::size_t>(delay));
    }
}

Task<> PlannedStops::runAll()
{
    for (const auto &host : m_hosts) {
        spawn(m_context.get_executor(), "planned-stops-start", start(*host));
    }
    const auto isReady = [](const auto &host) { return host->isInRotation; };
    const auto startDeadline = steadyNow() + StartTimeout;
    while (!std::all_of(m_hosts.begin(), m_hosts.end(), isReady) && steadyNow() < startDeadline) {
        co_await sleep(PollInterval);
    }
    const auto until = steadyNow() + m_options.soak.duration;
    for (const auto &caller : m_callers) {
        spawn(m_context.get_executor(), "planned-stops-caller", caller->run(until));
    }
    co_await stopHosts(until);
    const auto hasEnded = [](const auto &caller) { return caller->hasEnded(); };
    while (m_stopsInProgress > 0 || !std::all_of(m_callers.begin(), m_callers.end(), hasEnded)) {
        co_await sleep(PollInterval);
    }
    m_context.stop();
}

Task<> PlannedStops::start(StopHost &host)
{
    host.host->start();
    host.terminatedAt.emplace_back();
    host.pausedUntil.emplace_back();
    HttpClient client(m_context, host.host->operatorListen());
    const auto deadline = steadyNow() + StartTimeout;
    while (!host.isInRotation && steadyNow() < deadline) {
        co_await sleep(PollInterval * 4);
        auto request = makeHttpRequest("GET", "/readyz");
        const auto answer = co_await client.call(std::move(request), ReadinessTimeout);
        host.isInRotation = answer.has_value() && answer.value().status == Ok;
    }
    if (!host.isInRotation) {
        m_ledger.addViolation("start", host.host->name() + " does not become ready");
    }
}

Task<> PlannedStops::stopHosts(SteadyTime until)
{
    constexpr std::array<Milliseconds::rep, 3> MaxGaps{0, 100, 600};
    const auto hosts = static_cast<std::int64_t>(m_hosts.size());
    while (steadyNow() < until) {
        const auto maxGap = MaxGaps[static_cast<std::size_t>(randomUpTo(MaxGaps.size() - 1))];
        const auto first = randomUpTo(hosts - 1);
        const auto count = 1 + randomUpTo(hosts * 2 / 3);
        for (auto i = first; i < first + count && steadyNow() < until; ++i) {
            auto &host = *m_hosts[static_cast<std::size_t>(i % hosts)];
            if (!host.isStopping && host.isInRotation) {
                spawn(m_context.get_executor(), "planned-stops-stop", stop(host));
            }
            co_await sleep(Milliseconds(randomUpTo(maxGap)));
        }
        auto &reloaded = *m_hosts[static_cast<std::size_t>(randomUpTo(hosts - 1))];
        if (reloaded.isInRotation) {
            reloaded.host->signal(SIGHUP);
        }
        co_await sleep(Milliseconds(randomUpTo(MaxSeriesPause.count())));
    }
}

Task<> PlannedStops::stop(StopHost &host)
{
    const auto grace = m_options.terminationGrace;
    const Milliseconds leavesRotation(randomUpTo(lastExcusedSending(grace).count()));
    // Half of the stops get a second signal.
    const Milliseconds secondSignal(randomUpTo(grace.count() * 2));
    const int second = randomUpTo(1) == 0 ? SIGTERM : SIGHUP;
    ++m_stopsInProgress;
    ++m_counts["stops"];
    host.isStopping = true;
    const auto terminatedAt = steadyNow();
    host.terminatedAt.back() = terminatedAt;
    terminate(host);
    bool hasSecondSignal = false;
    bool wasKilled = false;
    while (!host.host->hasEnded()) {
        co_await sleep(PollInterval);
        const auto elapsed = steadyNow() - terminatedAt;
        host.isInRotation = host.isInRotation && elapsed < leavesRotation;
        if (elapsed >= secondSignal && !hasSecondSignal) {
            hasSecondSignal = true;
            host.host->signal(second);
        }
        if (elapsed >= grace && !wasKilled && !host.host->hasEnded()) {
            wasKilled = true;
            host.host->signal(SIGKILL);
            ++m_counts["killed"];
            m_ledger.addViolation("exit", host.host->name() + " still ran at the end of its grace time");
        }
    }
    host.isInRotation = false;
    co_await sleep(Milliseconds(randomUpTo(MaxRestartDelay.count())));
    co_await start(host);
    host.isStopping = false;
    --m_stopsInProgress;
}

void PlannedStops::terminate(StopHost &host)
{
    if (m_options.maxSignalDelay > Milliseconds(0)) {
        host.host->signal(SIGSTOP);
        host.pausedUntil.back() = steadyNow() + Milliseconds(randomUpTo(m_options.maxSignalDelay.count()));
        spawn(m_context.get_executor(), "planned-stops-resume", resume(host));
    }
    host.host->signal(SIGTERM);
}

Task<> PlannedStops::resume(StopHost &host)
{
    co_await sleep(std::chrono::duration_cast<Milliseconds>(host.pausedUntil.back() - steadyNow()));
    host.host->signal(SIGCONT);
    host.pausedUntil.back() = steadyNow();
}

std::string PlannedStops::failureDomain(std::size_t number) const
{
    return "d" + std::to_string(1 + number % m_options.failureDomains);
}

void PlannedStops::recordAnswer(const HttpRequest &request, const std::string &server)
{
    // An earlier server may go on with a call that was sent to another one.
    auto &call = m_calls[idOf(request)];
    if (call.lastServer == server) {
        call.answeredAt = steadyNow();
    }
}

void PlannedStops::recordRun(const HttpRequest &request, const std::string &server)
{
    m_ledger.ran(idOf(request), std::string(request["Cardamomhill-Tenant"]));
    auto &call = m_calls[idOf(request)];
    call.lastRunAt = steadyNow();
    call.lastServer = server;
    call.answeredAt.reset();
}

void PlannedStops::judgeGroups()
{
    for (std::size_t i = 0; i < m_groups.size(); ++i) {
        const auto &group = *m_groups[i];
        const auto name = "group" + std::to_string(i);
        const auto hold = group.longestHold();
        m_counts[name + "-passes"] = group.passCount();
        m_counts[name + "-switches"] = group.switchCount();
        m_counts[name + "-reformations"] = group.reformationCount();
        m_counts[name + "-orders"] = group.orderCount();
        m_counts[name + "-longest-hold-ms"] = static_cast<std::size_t>(hold.count());
        if (group.splitPassCount() > 0) {
            m_ledger.addViolation("one map", name + " began passes with different maps");
        }
        if (hold > MaxHold) {
            m_ledger.addViolation("held group", name + " was held for " + milliseconds(hold));
        }
    }
}

void PlannedStops::judgeCalls()
{
    for (const auto &[id, call] : m_calls) {
        ++m_counts["calls"];
        judgeCall(id, call);
    }
}

void PlannedStops::judgeCall(const std::string &id, const StopCall &call)
{
    const auto &terminatedAt = m_hosts[call.host]->terminatedAt[call.process];
    const auto afterTerm = terminatedAt ? call.sentAt - *terminatedAt : SteadyTime::duration(-1);
    m_counts["sent-in-stop"] += afterTerm.count() >= 0 ? 1 : 0;
    m_counts["sent-late-in-stop"] += afterTerm > lastExcusedSending(m_options.terminationGrace) ? 1 : 0;
    const bool isEngineStream = !m_groups.empty() && call.kind == CallKind::Stream;
    const auto routeTimeout = isEngineStream ? EngineRouteTimeout : RouteTimeout;
    const auto verdict = judge(call, terminatedAt, m_options.terminationGrace, routeTimeout);
    ++m_counts[nameOf(verdict)];
    m_counts["unread-on-new-connection"] += verdict == StopVerdict::Unread && call.isOnNewConnection ? 1 : 0;
    const auto detail = id + " sent " + milliseconds(afterTerm) + " after SIGTERM, ended after "
        + milliseconds(call.endedAt - call.sentAt) + ", status " + std::to_string(call.status) + ", "
        + (call.lastRunAt ? "run after " + milliseconds(*call.lastRunAt - call.sentAt) : "not run")
        + (call.answeredAt ? ", answered after " + milliseconds(*call.answeredAt - call.sentAt) : "");
    if (call.hasTimedOut) {
        m_ledger.addViolation("answered in time", detail);
    }
    const auto couldRefuse = std::max(call.sentAt, m_hosts[call.host]->pausedUntil[call.process]);
    if (call.isComplete && call.status == Unavailable && call.endedAt - couldRefuse > RefusalLimit) {
        m_ledger.addViolation("refused at once", detail);
    }
    if (verdict != StopVerdict::Unexplained && verdict != StopVerdict::LeftSilent) {
        return;
    }
    m_ledger.addViolation(verdict == StopVerdict::LeftSilent ? "left silent"
                              : call.isComplete              ? "failed"
                                                             : "lost",
                          detail);
    std::ifstream log(m_options.soak.directory + "/" + m_hosts[call.host]->host->name() + ".log");
    for (std::string line; std::getline(log, line);) {
        if (line.find("request=" + id + " ") != std::string::npos) {
            std::cout << line << '\n';
        }
    }
}

} // namespace Cardamomhill
