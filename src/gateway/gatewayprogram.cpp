#include "gateway/gatewayprogram.h"

#include "control/hostdirectory.h"
#include "control/operatorserver.h"
#include "control/storerelay.h"
#include "coordinator/groupcoordinatormanager.h"
#include "drain/signaltime.h"
#include "drain/terminationdeadline.h"
#include "gateway/gatewaycontrol.h"
#include "gateway/gatewaysettings.h"
#include "gateway/gatewaythread.h"
#include "gateway/storecodec.h"
#include "logging/logging.h"
#include "metrics/metricsregistry.h"
#include "net/freedmemory.h"
#include "net/spawn.h"
#include "net/steadynow.h"
#include "objectstore/storeavailability.h"

#include <boost/asio/signal_set.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <thread>

namespace Cardamomhill
{

namespace
{

constexpr Milliseconds StopCheckPeriod{20};
/// Bounds how much too early a signal is taken to have been sent, at twice this.
constexpr Milliseconds SignalTickPeriod{50};

/// Owns the components of a gateway process and its two threads: the control thread, which is the main thread, and the
/// traffic thread.
class GatewayProgram
{
public:
    GatewayProgram(const GatewaySettings &settings,
                   const CallCodec &callCodec,
                   const StoreCodec &storeCodec,
                   const EngineCodec &engineCodec)
        : m_settings(settings)
        , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
        , m_trafficThread(
              settings,
              callCodec,
              m_metrics,
              {[this](const GroupId &group) {
                   asio::post(m_context, [this, group] { m_groupCoordinatorManager.onGroupStepsSlowedDown(group); });
               },
               [this](const std::set<std::string> &hosts) {
                   asio::post(m_context, [this, hosts] { m_groupCoordinatorManager.setUnresponsiveHosts(hosts); });
               },
               [this](const std::vector<RelayHost> &hosts) {
                   asio::post(m_context, [this, hosts] { setFailureDomainHosts(hosts); });
               },
               [this](const GroupNotice &notice) {
                   asio::post(m_context, [this, notice] { m_groupCoordinatorManager.onGroupNotice(notice); });
               },
               [this](const std::vector<BlockedPart> &parts) {
                   asio::post(m_context, [this, parts] { m_hostDirectory.setBlockedParts(parts); });
               },
               [this] {
                   asio::post(m_context, [this] { spawn(m_context.get_executor(), "stop", stopAfterCoordination()); });
               }})
        , m_storeRelay(m_context)
        , m_groupCoordinatorManager(
              m_context,
              settings.platform,
              storeCodec.objectApi(),
              engineCodec,
              m_metrics,
              {settings.host.value(), settings.failureDomain, settings.linkMegabitsPerSecond},
              m_storeAvailability,
              {[this](const SlowdownFactors &slowdownFactors) {
                   asio::post(m_trafficThread.context(),
                              [this, slowdownFactors] { m_trafficThread.setOwnSlowServers(slowdownFactors); });
               },
               [this](const GroupNotice &notice) {
                   asio::post(m_trafficThread.context(), [this, notice] { m_trafficThread.sendGroupNotice(notice); });
               }})
        , m_control(m_context,
                    settings,
                    storeCodec,
                    m_metrics,
                    m_storeAvailability,
                    m_storeRelay,
                    {[this](const std::shared_ptr<const TrafficConfiguration> &configuration) {
                         m_groupCoordinatorManager.apply(configuration);
                         asio::post(m_trafficThread.context(),
                                    [this, configuration] { m_trafficThread.applyConfiguration(configuration); });
                     },
                     [this](const ServerChanges &changes) {
                         if (changes.hasChangedServers()) {
                             m_groupCoordinatorManager.applyServers(changes);
                         }
                         asio::post(m_trafficThread.context(),
                                    [this, changes] { m_trafficThread.applyServers(changes); });
                     },
                     [this](const EvacuatedDomains &evacuated) {
                         asio::post(m_trafficThread.context(),
                                    [this, evacuated] { m_trafficThread.applyEvacuations(evacuated); });
                     }})
        , m_hostDirectory(
              m_context,
              settings.platform,
              storeCodec.objectApi(),
              settings.host.value(),
              settings.peerListen,
              m_storeAvailability,
              {[this](const std::vector<tcp::endpoint> &hosts) {
                   asio::post(m_trafficThread.context(), [this, hosts] { m_trafficThread.setPeers(hosts); });
               },
               [this](bool isFirstProcess) {
                   asio::post(m_trafficThread.context(),
                              [this, isFirstProcess] { m_trafficThread.setRegistered(isFirstProcess); });
               },
               [this](const std::vector<BlockedPart> &parts) {
                   asio::post(m_trafficThread.context(),
                              [this, parts] { m_trafficThread.promptGuard().addBlockedParts(parts, "store"); });
               },
               [this](const std::set<HostId> &names) {
                   asio::post(m_trafficThread.context(), [this, names] { m_trafficThread.setHostNames(names); });
               }})
        , m_operatorServer(m_context, m_metrics, {[this] { return isReady(); }, [this] { return status(); }})
    {
    }

    Result<void, NetError> run()
    {
        BOOST_OUTCOME_TRY(m_trafficThread.listen());
        BOOST_OUTCOME_TRY(m_operatorServer.listen(m_settings.operatorListen));
        BOOST_OUTCOME_TRY(m_storeRelay.listen(m_settings.peerListen));
        m_control.start();
        m_hostDirectory.start();
        if (m_settings.coordinatesGroups) {
            m_groupCoordinatorManager.start();
        }
        waitForSignal();
        spawn(m_context.get_executor(), "signal-time", tickSignalTime());
        logEvent(LogLevel::Info,
                 "started",
                 {{"host", m_settings.host.value()}, {"failure_domain", m_settings.failureDomain.value()}});
        std::thread traffic([this] { m_trafficThread.run(); });
        m_context.run();
        traffic.join();
        logStopSummary();
        return success();
    }

private:
    void setFailureDomainHosts(const std::vector<RelayHost> &hosts)
    {
        m_control.setFailureDomainHosts(hosts);
        m_hostDirectory.setStoreRole(m_control.role());
    }

    void waitForSignal()
    {
        m_signals.async_wait([this](SystemError error, int signal) {
            if (error) {
                return;
            }
            if (signal == SIGHUP) {
                // All settings are addresses and limits of the process, which take effect only at its next start.
                logEvent(LogLevel::Info, "reload", {{"effect", "none"}});
                waitForSignal();
                return;
            }
            startDraining();
        });
    }

    Task<> tickSignalTime()
    {
        asio::steady_timer timer(m_context);
        SystemError error;
        while (!error && !m_isDraining) {
            m_signalTime.onTick(steadyNow());
            timer.expires_after(SignalTickPeriod);
            co_await timer.async_wait(storeError(error));
        }
    }

    void logStopSummary()
    {
        const auto &summary = m_trafficThread.stopSummary();
        endBufferedLogging();
        logEvent(summary.endedEarly > 0 ? LogLevel::Warning : LogLevel::Info,
                 "stopped",
                 {{"taken", summary.taken},
                  {"refused", summary.refused},
                  {"ended_early", summary.endedEarly},
                  {"ended_in_answer", summary.endedInAnswer},
                  {"oldest_ended_ms", summary.oldestEnded.count()},
                  {"longest_silence_ms", summary.longestSilence.count()}});
    }

    /// Ends the process when it no longer coordinates a group, which would stay stopped if a pass were held, or when
    /// the time before the kill is over.
    Task<> stopAfterCoordination()
    {
        TerminationDeadline deadline(m_settings.terminationGrace);
        deadline.setSignalDelay(m_signalDelay);
        asio::steady_timer timer(m_context);
        SystemError error;
        const auto isOverdue = [&] {
            return deadline.isOverdue(std::chrono::duration_cast<Microseconds>(steadyNow() - m_drainingSince));
        };
        while (!error && !m_groupCoordinatorManager.hasStopped() && !isOverdue()) {
            timer.expires_after(StopCheckPeriod);
            co_await timer.async_wait(storeError(error));
        }
        m_context.stop();
    }

    void startDraining()
    {
        m_isDraining = true;
        m_drainingSince = steadyNow();
        m_signalDelay = std::chrono::duration_cast<Microseconds>(m_drainingSince - m_signalTime.notSentBefore());
        m_metrics.gauge("draining").set(1);
        m_groupCoordinatorManager.stop();
        logEvent(LogLevel::Info,
                 "draining",
                 {{"calls", m_trafficThread.callCount()},
                  {"listener_closes_ms", m_settings.drainGrace.count()},
                  {"killed_ms", m_settings.terminationGrace.count()},
                  {"signal_delay_ms", std::chrono::duration_cast<Milliseconds>(m_signalDelay).count()}});
        asio::post(m_trafficThread.context(), [this, notSentBefore = m_signalTime.notSentBefore()] {
            m_trafficThread.startDraining(notSentBefore);
        });
    }

    bool isReady() const
    {
        return m_control.isReady() && m_trafficThread.canServe() && !m_isDraining;
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
                              {"calls", m_trafficThread.callCount()}}
            .dump();
    }

    const GatewaySettings &m_settings;
    asio::io_context m_context;
    MetricsRegistry m_metrics;
    StoreAvailability m_storeAvailability;
    asio::signal_set m_signals;
    GatewayThread m_trafficThread;
    StoreRelay m_storeRelay;
    GroupCoordinatorManager m_groupCoordinatorManager;
    GatewayControl m_control;
    HostDirectory m_hostDirectory;
    OperatorServer m_operatorServer;
    bool m_isDraining = false;
    SignalTime m_signalTime{steadyNow()};
    SteadyTime m_drainingSince{};
    /// How long before it was handled the signal can have been sent.
    Microseconds m_signalDelay{0};
};

} // namespace

Result<void, NetError> runGateway(const GatewaySettings &settings,
                                  const CallCodec &callCodec,
                                  const StoreCodec &storeCodec,
                                  const EngineCodec &engineCodec)
{
    mapLargeBuffers();
    GatewayProgram program(settings, callCodec, storeCodec, engineCodec);
    return program.run();
}

} // namespace Cardamomhill
