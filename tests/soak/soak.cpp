#include "soak/soak.h"

#include "logging/logging.h"
#include "net/spawn.h"
#include "net/steadynow.h"
#include "soak/freeendpoint.h"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>

namespace Cardamomhill
{

namespace
{

/// The gateway guarantees that a change is in force after this time at a host that reaches the store.
constexpr Milliseconds MaxConfigurationDelay{2000};
constexpr Milliseconds MaxDrainDelay{2000};
/// How long a server that leaves still serves.
constexpr Milliseconds DrainTime{2600};
/// Time after the last fault after which every call must succeed again.
constexpr Milliseconds RecoveryTime{6000};
constexpr int RecoveryCallsPerHost = 10;
constexpr Milliseconds StartTimeout{15000};
const std::string FailureDomain = "d1";
constexpr Milliseconds EndTimeout{20000};
constexpr Milliseconds PollInterval{50};
constexpr unsigned Ok = 200;
constexpr unsigned FirstError = 300;
constexpr unsigned Unauthorized = 401;
constexpr unsigned NotFound = 404;

/// The state of a link during a fault; empty if the fault resets its connections instead.
std::optional<LinkState> linkStateOf(FaultKind kind)
{
    switch (kind) {
    case FaultKind::DelayStoreLink:
    case FaultKind::DelayServer:
        return LinkState::Delayed;
    case FaultKind::SilenceStoreLink:
    case FaultKind::SilenceServer:
        return LinkState::Silent;
    case FaultKind::SilenceStoreAnswers:
    case FaultKind::SilenceServerAnswers:
        return LinkState::SilentDown;
    case FaultKind::RefuseStoreLink:
    case FaultKind::RefuseServer:
        return LinkState::Refusing;
    default:
        return std::nullopt;
    }
}

} // namespace

Soak::Soak(SoakOptions options)
    : m_options(std::move(options))
    , m_store(m_context)
    , m_storeAddress(freeEndpoint(m_context))
    , m_storeWriter(m_context, m_storeAddress, m_ledger)
{
    const auto listening = m_store.listen(m_storeAddress);
    if (listening.has_error()) {
        throw std::runtime_error(listening.error().message());
    }
    for (std::size_t i = 0; i < m_options.servers; ++i) {
        const bool isEvacuated = m_options.hasEvacuations && i % 2 == 1;
        m_servers.push_back(std::make_unique<SoakServer>(
            m_context,
            "server" + std::to_string(i),
            isEvacuated ? RandomEvacuations::Domain : FailureDomain,
            [this](const std::string &instance, const HttpRequest &request) { onRun(instance, request); }));
    }
    std::vector<SoakHost *> hosts;
    for (std::size_t i = 0; i < m_options.hosts; ++i) {
        m_hosts.push_back(std::make_unique<SoakHost>(
            m_context, "host" + std::to_string(i), m_storeAddress, m_options.program, m_options.directory, settings()));
        hosts.push_back(m_hosts.back().get());
    }
    for (std::size_t i = 0; i < m_options.callers; ++i) {
        m_callers.push_back(std::make_unique<SoakCaller>(
            m_context, "caller" + std::to_string(i), m_options.seed * 1000 + i, hosts, m_ledger));
    }
    m_prober = std::make_unique<SoakCaller>(m_context, "prober", m_options.seed, hosts, m_ledger);
    if (m_options.hasEvacuations) {
        m_evacuations = std::make_unique<RandomEvacuations>(m_context, m_options.seed, m_storeWriter);
    }
    if (m_options.hasColdReturns) {
        addColdReturns();
    }
    if (m_options.hasOutages || m_options.hasUrgency) {
        m_engineLoad = std::make_unique<EngineLoad>(
            m_context, EngineLoad::Options{m_options.hasUrgency, m_options.seed}, hosts, m_ledger, [this](bool isOut) {
                setServersSilent(isOut);
            });
        m_engineLoad->start(m_store);
    }
}

void Soak::setServersSilent(bool isSilent)
{
    for (const auto &server : m_servers) {
        // Calls arrive and run, and nothing comes back.
        server->link().setState(isSilent ? LinkState::SilentDown : LinkState::Open);
        server->linkStability().markUnstable(steadyNow());
    }
}

void Soak::addColdReturns()
{
    m_coldReturns = std::make_unique<ColdReturns>(
        m_context,
        m_options.seed,
        m_ledger,
        [this](std::size_t server) { return replaceServer(*m_servers[server], Milliseconds(0)); },
        [this](const SoakServer &server) {
            const auto entry = server.entry();
            if (!m_leavingSince.contains(entry.id)) {
                m_store.put("servers", entry.id, nlohmann::json::parse(serverDocument(entry)));
            }
        });
}

std::string Soak::settings() const
{
    std::string settings;
    if (m_options.hasEvacuations && !m_options.lacksSettings) {
        settings += RandomEvacuations::settings();
    }
    if (m_options.hasColdReturns && !m_options.lacksSettings) {
        settings += ColdReturns::settings();
    }
    if (m_options.hasOutages && !m_options.lacksSettings) {
        settings += EngineLoad::settings();
    }
    return settings;
}

std::string Soak::configuration(std::uint64_t version) const
{
    auto document = nlohmann::json::parse(configurationDocument(version));
    if (m_options.hasColdReturns) {
        ColdReturns::addLimit(document);
    }
    if (m_engineLoad) {
        m_engineLoad->addService(document);
    }
    return document.dump();
}

void Soak::run()
{
    spawn(m_context.get_executor(), "soak", runAll());
    m_context.run();
}

const Ledger &Soak::ledger() const
{
    return m_ledger;
}

const std::map<std::string, std::size_t> &Soak::checks() const
{
    return m_checks;
}

Task<> Soak::runAll()
{
    for (const auto &server : m_servers) {
        const auto entry = server->entry();
        const auto document = objectDocument(entry.id, serverDocument(entry));
        co_await m_storeWriter.write("POST", "/objects/servers", document);
    }
    const auto first = objectDocument("main", configuration(m_version));
    co_await m_storeWriter.write("POST", "/objects/config", first);
    for (const auto &host : m_hosts) {
        host->start();
    }
    const auto startDeadline = steadyNow() + StartTimeout;
    for (std::size_t host = 0; host < m_hosts.size();) {
        const std::string path = "/safe/ok";
        const std::string key = "k";
        const auto status = co_await m_prober->probe(host, path, key);
        if (status == Ok) {
            ++host;
        } else if (steadyNow() > startDeadline) {
            m_ledger.addViolation("start", m_hosts[host]->name() + " does not serve");
            m_context.stop();
            co_return;
        }
        co_await sleep(PollInterval);
    }
    const auto start = steadyNow();
    for (const auto &caller : m_callers) {
        spawn(m_context.get_executor(), "soak-caller", caller->run(start + m_options.duration + RecoveryTime));
    }
    startOptions(start + m_options.duration);
    co_await injectFaults(start);
    endFaults();
    co_await sleep(RecoveryTime);
    co_await checkRecovery();
    const auto endDeadline = steadyNow() + EndTimeout;
    while (m_faultsInProgress > 0 && steadyNow() < endDeadline) {
        co_await sleep(PollInterval);
    }
    endOptions();
    m_hosts.clear();
    m_context.stop();
}

void Soak::startOptions(SteadyTime end)
{
    if (m_evacuations) {
        spawn(m_context.get_executor(), "soak-evacuations", evacuate(end));
    }
    if (m_coldReturns) {
        const auto servers = m_servers.size();
        spawn(m_context.get_executor(), "soak-cold-returns", m_coldReturns->replaceAtRandom(servers, end));
        spawn(m_context.get_executor(), "soak-delays", m_coldReturns->watchDelays());
    }
    if (m_engineLoad) {
        spawn(m_context.get_executor(), "soak-engine-load", m_engineLoad->run(end, end + RecoveryTime));
    }
}

void Soak::endOptions()
{
    if (m_evacuations) {
        m_checks["evacuation-order"] = m_evacuations->count();
    }
    if (m_coldReturns) {
        m_checks.merge(m_coldReturns->counts());
    }
    if (m_engineLoad) {
        m_engineLoad->judge();
        m_checks.merge(m_engineLoad->counts());
    }
}

Task<> Soak::injectFaults(SteadyTime start)
{
    for (const auto &fault : planFaults(m_options.seed, m_options.duration)) {
        const auto wait = start + fault.startOffset - steadyNow();
        if (wait > wait.zero()) {
            co_await sleep(std::chrono::duration_cast<Milliseconds>(wait));
        }
        std::cout << fault.startOffset.count() << " ms: " << nameOf(fault.kind) << ' ' << fault.target << " for "
                  << fault.duration.count() << " ms\n";
        spawn(m_context.get_executor(), "soak-fault", injectFault(fault));
    }
    const auto rest = start + m_options.duration - steadyNow();
    if (rest > rest.zero()) {
        co_await sleep(std::chrono::duration_cast<Milliseconds>(rest));
    }
}

Task<> Soak::injectFault(Fault fault)
{
    ++m_faultsInProgress;
    auto &host = *m_hosts[fault.target % m_hosts.size()];
    auto &server = *m_servers[fault.target % m_servers.size()];
    switch (fault.kind) {
    case FaultKind::PauseHost:
    case FaultKind::KillHost:
    case FaultKind::TerminateHost:
    case FaultKind::ReloadHost:
        co_await injectHostFault(fault.kind, host, fault.duration);
        break;
    case FaultKind::DelayStoreLink:
    case FaultKind::SilenceStoreLink:
    case FaultKind::SilenceStoreAnswers:
    case FaultKind::RefuseStoreLink:
    case FaultKind::ResetStoreLink:
        co_await injectStoreLinkFault(fault.kind, host, fault.duration);
        break;
    case FaultKind::StopStore:
    case FaultKind::LoseStoreWrites:
    case FaultKind::DropStoreHistory:
        co_await injectStoreFault(fault.kind, fault.duration);
        break;
    case FaultKind::DelayServer:
    case FaultKind::SilenceServer:
    case FaultKind::SilenceServerAnswers:
    case FaultKind::RefuseServer:
    case FaultKind::ResetServer:
        co_await injectServerLinkFault(fault.kind, server, fault.duration);
        break;
    case FaultKind::ReplaceServer:
        co_await replaceServer(server, fault.duration);
        break;
    case FaultKind::DrainServer:
        co_await drainServer(server);
        break;
    case FaultKind::ChangeConfiguration:
        co_await changeConfiguration();
        break;
    }
    --m_faultsInProgress;
}

Task<> Soak::injectHostFault(FaultKind kind, SoakHost &host, Milliseconds duration)
{
    host.stability().markUnstable(steadyNow() + duration);
    switch (kind) {
    case FaultKind::PauseHost:
        host.signal(SIGSTOP);
        co_await sleep(duration);
        host.signal(SIGCONT);
        break;
    case FaultKind::ReloadHost:
        host.signal(SIGHUP);
        break;
    case FaultKind::TerminateHost:
        host.signal(SIGTERM);
        co_await sleep(duration);
        // A process that another fault has stopped handles SIGTERM only after SIGCONT.
        host.signal(SIGCONT);
        break;
    default:
        host.signal(SIGKILL);
        co_await sleep(duration);
        break;
    }
    const auto deadline = steadyNow() + EndTimeout;
    while (kind == FaultKind::TerminateHost && !host.hasEnded() && steadyNow() < deadline) {
        co_await sleep(PollInterval);
    }
    if (host.hasEnded()) {
        host.start();
    }
    host.stability().markUnstable(steadyNow());
}

Task<> Soak::injectStoreLinkFault(FaultKind kind, SoakHost &host, Milliseconds duration)
{
    host.stability().markUnstable(steadyNow() + duration);
    if (kind == FaultKind::RefuseStoreLink) {
        host.storeLink().resetAll();
    }
    co_await injectLinkFault(kind, host.storeLink(), duration);
    host.stability().markUnstable(steadyNow());
}

Task<> Soak::injectServerLinkFault(FaultKind kind, SoakServer &server, Milliseconds duration)
{
    auto &stability = server.linkStability();
    stability.markUnstable(steadyNow() + duration);
    co_await injectLinkFault(kind, server.link(), duration);
    stability.markUnstable(steadyNow());
}

Task<> Soak::injectLinkFault(FaultKind kind, FaultProxy &link, Milliseconds duration)
{
    const auto state = linkStateOf(kind);
    if (!state) {
        link.resetAll();
        co_return;
    }
    link.setState(*state);
    co_await sleep(duration);
    link.setState(LinkState::Open);
}

Task<> Soak::injectStoreFault(FaultKind kind, Milliseconds duration)
{
    m_storeStability.markUnstable(steadyNow() + duration);
    switch (kind) {
    case FaultKind::StopStore:
        co_await m_storeWriter.setFaults(R"({"down":true})");
        co_await sleep(duration);
        co_await m_storeWriter.setFaults(R"({"down":false})");
        break;
    case FaultKind::LoseStoreWrites:
        co_await m_storeWriter.setFaults(R"({"lose_writes":2})");
        break;
    default:
        co_await m_storeWriter.setFaults(R"({"drop_history":true,"cut_watches":true})");
        break;
    }
    m_storeStability.markUnstable(steadyNow());
}

Task<> Soak::replaceServer(SoakServer &server, Milliseconds duration)
{
    const auto old = server.entry();
    server.startInstance();
    // The entry of the old instance stays for a while, as after a crash that the store has not yet detected.
    co_await sleep(duration);
    if (m_coldReturns) {
        m_coldReturns->makeCold(server);
    }
    const auto entry = server.entry();
    const auto document = objectDocument(entry.id, serverDocument(entry));
    co_await m_storeWriter.write("POST", "/objects/servers", document);
    co_await m_storeWriter.write("DELETE", "/objects/servers/" + old.id, "");
}

Task<> Soak::drainServer(SoakServer &server)
{
    auto entry = server.entry();
    if (m_leavingSince.contains(entry.id)) {
        co_return;
    }
    m_leavingSince[entry.id] = SteadyTime::max();
    entry.isLeaving = true;
    const auto document = objectDocument(entry.id, serverDocument(entry));
    const auto acknowledgedAt = co_await m_storeWriter.write("PUT", "/objects/servers/" + entry.id, document);
    m_leavingSince[entry.id] = acknowledgedAt;
    co_await sleep(DrainTime);
    if (server.entry().id == entry.id) {
        co_await replaceServer(server, Milliseconds(0));
    }
}

Task<> Soak::evacuate(SteadyTime end)
{
    ++m_faultsInProgress;
    co_await m_evacuations->run(end);
    --m_faultsInProgress;
}

void Soak::checkEvacuation(const std::string &call, const std::string &instance)
{
    const auto *host = m_ledger.hostOf(call);
    const bool isThere = std::any_of(m_servers.begin(), m_servers.end(), [&](const auto &server) {
        return server->entry().id == instance && server->entry().failureDomain == RandomEvacuations::Domain;
    });
    if (!m_evacuations || !isThere || m_evacuations->since() == SteadyTime::max() || host == nullptr
        || isHeldUp(instance)) {
        return;
    }
    ++m_checks["evacuation"];
    if (m_evacuations->isInForce() && timeLimitsApply(*m_hosts[*host], m_evacuations->since())) {
        m_ledger.addViolation("evacuation", call + " reached " + instance + " in the evacuated domain after the limit");
    }
}

bool Soak::isHeldUp(const std::string &instance) const
{
    return std::any_of(m_servers.begin(), m_servers.end(), [&](const auto &server) {
        return server->entry().id == instance && !server->linkStability().isStableSince(steadyNow());
    });
}

void Soak::onRun(const std::string &instance, const HttpRequest &request)
{
    const std::string call(request["Cardamomhill-Request-Id"]);
    m_ledger.ran(call, std::string(request["Cardamomhill-Tenant"]));
    checkEvacuation(call, instance);
    if (m_coldReturns) {
        m_coldReturns->onRun(call, instance, isHeldUp(instance));
    }
    const auto leaving = m_leavingSince.find(instance);
    const auto *host = m_ledger.hostOf(call);
    if (leaving == m_leavingSince.end() || leaving->second == SteadyTime::max() || host == nullptr) {
        return;
    }
    if (isHeldUp(instance)) {
        return;
    }
    ++m_checks["drain"];
    if (steadyNow() - leaving->second > MaxDrainDelay && timeLimitsApply(*m_hosts[*host], leaving->second)) {
        m_ledger.addViolation("drain", call + " reached " + instance + " after the time limit");
    }
}

Task<> Soak::changeConfiguration()
{
    // An operator writes one version at a time.
    while (m_isWritingConfiguration) {
        co_await sleep(PollInterval);
    }
    m_isWritingConfiguration = true;
    const auto version = ++m_version;
    const auto document = objectDocument("main", configuration(version));
    const auto acknowledgedAt = co_await m_storeWriter.write("PUT", "/objects/config/main", document);
    m_isWritingConfiguration = false;
    co_await sleep(MaxConfigurationDelay);
    co_await checkConfiguration(version, acknowledgedAt);
}

Task<> Soak::checkConfiguration(std::uint64_t version, SteadyTime acknowledgedAt)
{
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        if (version != m_version) {
            co_return;
        }
        const auto number = std::to_string(version);
        const std::string newPath = "/v" + number + "/ok";
        const std::string newKey = "k" + number;
        const auto newRouteStatus = co_await m_prober->probe(host, newPath, newKey);
        const std::string oldPath = "/v" + std::to_string(version - 1) + "/ok";
        const std::string oldKey = "k" + std::to_string(version - 1);
        const auto oldRouteStatus = co_await m_prober->probe(host, oldPath, newKey);
        const std::string permanentPath = "/safe/ok";
        const auto oldKeyStatus = co_await m_prober->probe(host, permanentPath, oldKey);
        if (version != m_version || !timeLimitsApply(*m_hosts[host], acknowledgedAt)) {
            continue;
        }
        ++m_checks["configuration"];
        const auto where = " of version " + number + " at " + m_hosts[host]->name();
        if (newRouteStatus == NotFound || newRouteStatus == Unauthorized) {
            m_ledger.addViolation("configuration", "the route or key" + where + " is not in force");
        }
        if (oldRouteStatus != 0 && oldRouteStatus < FirstError) {
            m_ledger.addViolation("configuration",
                                  "the route removed by the configuration" + where + " still serves calls");
        }
        if (oldKeyStatus != 0 && oldKeyStatus < FirstError) {
            m_ledger.addViolation("configuration",
                                  "the key removed by the configuration" + where + " is still accepted");
        }
    }
}

Task<> Soak::checkRecovery()
{
    const std::string path = "/safe/ok";
    const std::string key = "k";
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        for (int i = 0; i < RecoveryCallsPerHost; ++i) {
            ++m_checks["recovery"];
            const auto status = co_await m_prober->probe(host, path, key);
            if (status != Ok) {
                m_ledger.addViolation("recovery", m_hosts[host]->name() + " answers " + std::to_string(status));
            }
        }
    }
}

void Soak::endFaults()
{
    for (const auto &host : m_hosts) {
        host->storeLink().setState(LinkState::Open);
        host->signal(SIGCONT);
        if (host->hasEnded()) {
            host->start();
        }
        host->stability().markUnstable(steadyNow());
    }
    for (const auto &server : m_servers) {
        server->link().setState(LinkState::Open);
    }
    spawn(m_context.get_executor(), "soak-end-faults", m_storeWriter.setFaults(R"({"down":false,"lose_writes":0})"));
}

bool Soak::timeLimitsApply(SoakHost &host, SteadyTime since) const
{
    return host.stability().isStableSince(since) && m_storeStability.isStableSince(since);
}

Task<> Soak::sleep(Milliseconds time)
{
    asio::steady_timer timer(m_context, time);
    SystemError error;
    co_await timer.async_wait(storeError(error));
}

} // namespace Cardamomhill
