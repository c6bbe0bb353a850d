#include "gateway/gatewaycontrol.h"

#include "control/storerelay.h"
#include "gateway/gatewaysettings.h"
#include "gateway/storecodec.h"
#include "logging/logging.h"
#include "metrics/metricsregistry.h"
#include "net/spawn.h"
#include "net/steadynow.h"

namespace Cardamomhill
{

namespace
{

constexpr Milliseconds TickPeriod{200};
/// Shortest time between two calls to the store, each of which is charged. The first change after a quiet time is
/// received at once, and changes in quick succession have to be in force within two seconds.
constexpr Milliseconds MinConfigurationCallInterval{400};
constexpr Milliseconds MinServerCallInterval{800};

} // namespace

GatewayControl::GatewayControl(asio::io_context &context,
                               const GatewaySettings &settings,
                               const StoreCodec &codec,
                               MetricsRegistry &metrics,
                               StoreAvailability &availability,
                               StoreRelay &relay,
                               Observers observers)
    : m_context(context)
    , m_codec(codec)
    , m_metrics(metrics)
    , m_observers(std::move(observers))
    , m_configurationFollower(
          context,
          settings.platform,
          codec.objectApi(),
          codec.configurationKind(),
          MinConfigurationCallInterval,
          settings.host.value(),
          {availability, relay.kind(codec.configurationKind())},
          {[this](const ObjectPage &page) { applyConfiguration(page); },
           [this](const ObjectPage &page) { applyConfiguration(page); },
           [this](bool hasContact) { m_metrics.gauge("store_in_contact").set(hasContact ? 1 : 0); }})
    , m_serverFollower(context,
                       settings.platform,
                       codec.objectApi(),
                       codec.serverKind(),
                       MinServerCallInterval,
                       settings.host.value(),
                       {availability, relay.kind(codec.serverKind())},
                       {[this](const ObjectPage &page) { replaceServers(page); },
                        [this](const ObjectPage &page) { updateServers(page); },
                        [this](bool hasContact) {
                            hasContact ? m_serverRegistry.onStoreAvailable(steadyNow())
                                       : m_serverRegistry.onStoreUnavailable();
                        }})
{
    if (settings.evacuationLimit) {
        m_evacuationFollower.emplace(context,
                                     settings,
                                     codec,
                                     metrics,
                                     ObjectFollower::Dependencies{availability, relay.kind(codec.evacuationKind())},
                                     m_observers.onEvacuations);
    }
}

void GatewayControl::start()
{
    m_configurationFollower.start();
    m_serverFollower.start();
    if (m_evacuationFollower) {
        m_evacuationFollower->start();
    }
    spawn(m_context.get_executor(), "gateway-control-tick", tickLoop());
}

void GatewayControl::setFailureDomainHosts(const std::vector<RelayHost> &hosts)
{
    m_configurationFollower.setFailureDomainHosts(hosts);
    m_serverFollower.setFailureDomainHosts(hosts);
    if (m_evacuationFollower) {
        m_evacuationFollower->setFailureDomainHosts(hosts);
    }
}

StoreRole GatewayControl::role() const
{
    return m_serverFollower.role();
}

bool GatewayControl::isReady() const
{
    const bool knowsEvacuations = !m_evacuationFollower || m_evacuationFollower->isListed();
    return m_configurationVersion != 0 && m_hasSeenServer && knowsEvacuations;
}

std::uint64_t GatewayControl::configurationVersion() const
{
    return m_configurationVersion;
}

std::size_t GatewayControl::serverCount() const
{
    return m_serverRegistry.size();
}

void GatewayControl::countUnreadable(const ObjectPage &page)
{
    m_metrics.counter("objects_unreadable_total").add(page.unreadableCount);
}

void GatewayControl::applyConfiguration(const ObjectPage &page)
{
    countUnreadable(page);
    for (const auto &object : page.objects) {
        if (object.key.name != m_codec.configurationName()) {
            continue;
        }
        auto configuration = m_codec.parseConfiguration(object);
        if (configuration.has_error()) {
            logEvent(LogLevel::Error, "configuration-rejected", {{"error", configuration.error().message()}});
            m_metrics.counter("configurations_rejected_total").add();
            continue;
        }
        const auto version = configuration.value()->version();
        if (version <= m_configurationVersion) {
            continue;
        }
        m_configurationVersion = version;
        m_metrics.gauge("configuration_version").set(static_cast<std::int64_t>(version));
        logEvent(LogLevel::Info,
                 "configuration-in-force",
                 {{"version", version},
                  {"revision", object.version},
                  {"routes", configuration.value()->routeCount()},
                  {"services", configuration.value()->services().size()}});
        m_observers.onConfiguration(configuration.value());
    }
}

void GatewayControl::replaceServers(const ObjectPage &page)
{
    const auto era = page.revision.era;
    const bool isRestored = m_serverEra && *m_serverEra != era;
    m_serverEra = era;
    const auto servers = readServers(page);
    isRestored ? m_serverRegistry.replaceAllAfterRestoration(servers, steadyNow())
               : m_serverRegistry.replaceAll(servers, steadyNow());
    publishServers();
}

void GatewayControl::updateServers(const ObjectPage &page)
{
    for (const auto &server : readServers(page)) {
        m_serverRegistry.put(server);
    }
    for (const auto &name : page.removed) {
        m_serverRegistry.remove(BackendServerId(name), steadyNow());
    }
    publishServers();
}

std::vector<DiscoveredServer> GatewayControl::readServers(const ObjectPage &page)
{
    countUnreadable(page);
    std::vector<DiscoveredServer> servers;
    for (const auto &object : page.objects) {
        auto server = m_codec.parseServer(object);
        if (server.has_value()) {
            servers.push_back(std::move(server.value()));
        } else {
            logEvent(LogLevel::Warning, "registration-rejected", {{"error", server.error().message()}});
            m_metrics.counter("registrations_rejected_total").add();
            // In a list and in a watch alike.
            m_serverRegistry.reject(BackendServerId(object.key.name));
        }
    }
    return servers;
}

void GatewayControl::publishServers()
{
    // Every call would be refused while no server is known, so this host is not ready until the first one is.
    m_hasSeenServer = m_hasSeenServer || m_serverRegistry.size() > 0;
    const auto changes = m_serverRegistry.takeChanges();
    if (changes.isEmpty()) {
        return;
    }
    m_metrics.gauge("servers_registered").set(static_cast<std::int64_t>(m_serverRegistry.size()));
    for (const auto &server : changes.updated) {
        logEvent(LogLevel::Info,
                 server.isLeaving ? "server-leaving" : "server-present",
                 {{"server", server.id.value()},
                  {"service", server.service.value()},
                  {"address", server.address},
                  {"failure_domain", server.failureDomain.value()},
                  {"revision", m_serverFollower.revision().number}});
    }
    for (const auto &id : changes.removed) {
        logEvent(
            LogLevel::Info, "server-gone", {{"server", id.value()}, {"revision", m_serverFollower.revision().number}});
    }
    m_observers.onServers(changes);
}

Task<> GatewayControl::tickLoop()
{
    asio::steady_timer timer(m_context);
    SystemError error;
    while (!error) {
        m_serverRegistry.removeExpired(steadyNow());
        publishServers();
        timer.expires_after(TickPeriod);
        co_await timer.async_wait(storeError(error));
    }
}

} // namespace Cardamomhill
