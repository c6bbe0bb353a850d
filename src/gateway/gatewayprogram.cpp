#include "gateway/gatewayprogram.h"

#include "control/hostdirectory.h"
#include "control/operatorserver.h"
#include "control/storerelay.h"
#include "coordinator/coordination.h"
#include "gateway/gatewaycontrol.h"
#include "gateway/gatewaysettings.h"
#include "gateway/gatewaythread.h"
#include "gateway/storedialect.h"
#include "logging/logging.h"
#include "metrics/metricsregistry.h"
#include "net/steadynow.h"
#include "objectstore/storecontact.h"

#include <boost/asio/signal_set.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <thread>

namespace Cardamomhill
{

namespace
{

constexpr Milliseconds ExitCheckPeriod{20};
/// How long connections without a call are waited for after the listening socket was closed. What their callers have
/// begun to send has this time to arrive.
constexpr Milliseconds ConnectionGrace{1000};

/// The threads and parts of one process.
class GatewayProgram
{
public:
    GatewayProgram(const GatewaySettings &settings,
                   const CallDialect &callDialect,
                   const StoreDialect &storeDialect,
                   const EngineDialect &engineDialect)
        : m_settings(settings)
        , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
        , m_timer(m_context)
        , m_traffic(settings,
                    callDialect,
                    m_metrics,
                    {[this](const GroupId &group) {
                         asio::post(m_context, [this, group] { m_coordination.groupTurnedSlow(group); });
                     },
                     [this](const std::set<std::string> &hosts) {
                         asio::post(m_context, [this, hosts] { m_coordination.setSilentHosts(hosts); });
                     },
                     [this](const std::vector<RelayHost> &hosts) {
                         asio::post(m_context, [this, hosts] { setDomainHosts(hosts); });
                     }})
        , m_relay(m_context)
        , m_coordination(m_context,
                         settings.platform,
                         storeDialect.objectApi(),
                         engineDialect,
                         m_metrics,
                         {settings.host.value(), settings.failureDomain, settings.linkMegabitsPerSecond},
                         m_contact,
                         [this](const ServerSlowness &slowness) {
                             asio::post(m_traffic.context(), [this, slowness] { m_traffic.setOwnSlowness(slowness); });
                         })
        , m_control(m_context,
                    settings,
                    storeDialect,
                    m_metrics,
                    m_contact,
                    m_relay,
                    {[this](const std::shared_ptr<const TrafficConfiguration> &configuration) {
                         m_coordination.apply(configuration);
                         asio::post(m_traffic.context(), [this, configuration] { m_traffic.apply(configuration); });
                     },
                     [this](const ServerChanges &changes) {
                         m_coordination.applyServers(changes);
                         asio::post(m_traffic.context(), [this, changes] { m_traffic.applyServers(changes); });
                     }})
        , m_hosts(m_context,
                  settings.platform,
                  storeDialect.objectApi(),
                  settings.host.value(),
                  settings.peerListen,
                  m_contact,
                  [this](const std::vector<tcp::endpoint> &hosts) {
                      asio::post(m_traffic.context(), [this, hosts] { m_traffic.setPeers(hosts); });
                  })
        , m_operator(m_context, m_metrics, {[this] { return isReady(); }, [this] { return status(); }})
    {
    }

    Result<void, NetError> run()
    {
        BOOST_OUTCOME_TRY(m_traffic.listen());
        BOOST_OUTCOME_TRY(m_operator.listen(m_settings.operatorListen));
        BOOST_OUTCOME_TRY(m_relay.listen(m_settings.peerListen));
        m_control.start();
        m_hosts.start();
        if (m_settings.coordinatesGroups) {
            m_coordination.start();
        }
        waitForSignal();
        logEvent(LogLevel::Info,
                 "started",
                 {{"host", m_settings.host.value()}, {"failure_domain", m_settings.failureDomain.value()}});
        std::thread traffic([this] { m_traffic.run(); });
        m_context.run();
        traffic.join();
        return success();
    }

private:
    void setDomainHosts(const std::vector<RelayHost> &hosts)
    {
        m_control.setDomainHosts(hosts);
        m_hosts.setRole(m_control.role());
    }

    void waitForSignal()
    {
        m_signals.async_wait([this](SystemError error, int signal) {
            if (error) {
                return;
            }
            if (signal == SIGHUP) {
                // All settings are addresses and limits of the process; they take effect at its next start.
                logEvent(LogLevel::Info, "reload", {{"effect", "none"}});
                waitForSignal();
                return;
            }
            startDraining();
        });
    }

    void startDraining()
    {
        m_isDraining = true;
        m_coordination.stop();
        logEvent(LogLevel::Info, "draining", {{"calls", m_traffic.callCount()}});
        asio::post(m_traffic.context(), [this] { m_traffic.startDraining(); });
        m_timer.expires_after(m_settings.drainGrace);
        m_timer.async_wait([this](SystemError) {
            asio::post(m_traffic.context(), [this] { m_traffic.stopAccepting(); });
            m_exitsAfter = steadyNow() + ConnectionGrace;
            exitWhenIdle();
        });
    }

    void exitWhenIdle()
    {
        m_timer.expires_after(ExitCheckPeriod);
        m_timer.async_wait([this](SystemError) {
            asio::post(m_traffic.context(), [this] {
                const auto connections = m_traffic.connectionCount();
                asio::post(m_context, [this, connections] { exitIfIdle(connections); });
            });
        });
    }

    void exitIfIdle(std::size_t connections)
    {
        // A request may still be on its way in.
        const bool isReading = connections > 0 && steadyNow() < m_exitsAfter;
        if (m_traffic.callCount() > 0 || isReading) {
            exitWhenIdle();
            return;
        }
        logEvent(LogLevel::Info, "exit", {{"reason", "drained"}});
        m_traffic.stop();
        m_context.stop();
    }

    bool isReady() const
    {
        return m_control.isReady() && m_traffic.canServe() && !m_isDraining;
    }

    std::string status() const
    {
        return nlohmann::json{{"host", m_settings.host.value()},
                              {"failure_domain", m_settings.failureDomain.value()},
                              {"ready", isReady()},
                              {"draining", m_isDraining},
                              {"configuration_version", m_control.configurationVersion()},
                              {"servers", m_control.serverCount()},
                              {"store_role", nameOf(m_control.role())},
                              {"calls", m_traffic.callCount()}}
            .dump();
    }

    const GatewaySettings &m_settings;
    asio::io_context m_context;
    MetricsRegistry m_metrics;
    StoreContact m_contact;
    asio::signal_set m_signals;
    asio::steady_timer m_timer;
    GatewayThread m_traffic;
    StoreRelay m_relay;
    Coordination m_coordination;
    GatewayControl m_control;
    HostDirectory m_hosts;
    OperatorServer m_operator;
    bool m_isDraining = false;
    SteadyTime m_exitsAfter{};
};

} // namespace

Result<void, NetError> runGateway(const GatewaySettings &settings,
                                  const CallDialect &callDialect,
                                  const StoreDialect &storeDialect,
                                  const EngineDialect &engineDialect)
{
    GatewayProgram program(settings, callDialect, storeDialect, engineDialect);
    return program.run();
}

} // namespace Cardamomhill
