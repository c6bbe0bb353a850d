#include "control/agentcontrol.h"

#include "config/configuration.h"
#include "control/configurationupdate.h"
#include "control/controladdress.h"
#include "logging/logging.h"
#include "net/spawn.h"
#include "net/steadynow.h"
#include "settings/agentsettings.h"

namespace Cardamomhill
{

namespace
{

constexpr Milliseconds TickPeriod{100};

std::vector<EntryHost> entryHosts(const AgentSettings &settings)
{
    std::vector<EntryHost> hosts;
    for (const auto &seed : settings.seeds) {
        // The host's name is unknown until it answers. It only determines the order of preference, so the address is
        // used in its place.
        const auto address = controlAddress(seed);
        hosts.push_back({HostId(address.value()), address});
    }
    return hosts;
}

} // namespace

AgentControl::AgentControl(asio::io_context &context,
                           const AgentSettings &settings,
                           MetricsRegistry &metrics,
                           Subscriber subscriber)
    : m_context(context)
    , m_settings(settings)
    , m_subscriber(std::move(subscriber))
    , m_reporter(AgentIdentity{settings.backendServer, settings.failureDomain, wallNow()})
    , m_transport(context, metrics, [this](const ControlAddress &from, std::string_view bytes) {
        const auto handled = m_reporter.onMessage(from, bytes, steadyNow());
        if (handled.has_error()) {
            logEvent(LogLevel::Warning, "control-message-dropped", {{"error", handled.error().message()}});
        }
        processPending();
    })
{
}

AgentControl::~AgentControl() = default;

Result<void, NetError> AgentControl::start()
{
    BOOST_OUTCOME_TRY(m_transport.listen(m_settings.controlListen));
    m_reporter.setEntryHosts(entryHosts(m_settings));
    spawn(m_context.get_executor(), "control-tick", tickLoop());
    return success();
}

void AgentControl::setLoad(const LoadReport &load)
{
    m_reporter.setLoad(load);
}

void AgentControl::leave()
{
    m_reporter.leave();
    m_reporter.tick(steadyNow());
    processPending();
}

bool AgentControl::isReady() const
{
    return m_reporter.hasConfiguration();
}

std::uint64_t AgentControl::configurationVersion() const
{
    return m_version;
}

Task<> AgentControl::tickLoop()
{
    asio::steady_timer timer(m_context);
    SystemError error;
    while (!error) {
        const auto now = steadyNow();
        m_reporter.tick(now);
        m_transport.tick(now);
        processPending();
        timer.expires_after(TickPeriod);
        co_await timer.async_wait(storeError(error));
    }
}

void AgentControl::processPending()
{
    for (const auto &message : m_reporter.takeMessages()) {
        m_transport.send(message);
    }
    const auto objects = m_reporter.takeObjectsInForce();
    if (objects.empty()) {
        return;
    }
    applyObjects(m_builder, objects);
    const auto configuration = m_builder.snapshot();
    m_version = configuration->version();
    logConfiguration(*configuration, objects.size());
    m_subscriber(configuration);
}

} // namespace Cardamomhill
