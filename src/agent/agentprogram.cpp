#include "agent/agentprogram.h"

#include "agent/agentserver.h"
#include "config/configuration.h"
#include "control/agentcontrol.h"
#include "control/operatorserver.h"
#include "logging/logging.h"
#include "metrics/metricsregistry.h"
#include "net/steadynow.h"
#include "settings/agentsettings.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <thread>

namespace Cardamomhill
{

namespace
{

constexpr Milliseconds DrainTickPeriod{20};
/// Progress is logged twice a second.
constexpr std::uint64_t DrainTicksPerLog = 25;
constexpr Milliseconds LoadReportPeriod{200};

/// The control thread and the traffic thread of an agent process, with the objects that run on them.
class AgentProgram
{
public:
    explicit AgentProgram(const AgentSettings &settings)
        : m_settings(settings)
        , m_signals(m_control, SIGTERM, SIGINT)
        , m_exitTimer(m_traffic)
        , m_loadTimer(m_traffic)
        , m_server(m_traffic,
                   {settings.backendServer, static_cast<std::uint64_t>(wallNow().time_since_epoch().count())},
                   settings.engine,
                   settings.platform,
                   settings.terminationGrace,
                   m_metrics)
        , m_agentControl(m_control,
                         settings,
                         m_metrics,
                         [this](const std::shared_ptr<const Configuration> &configuration) { apply(configuration); })
        , m_operator(m_control, m_metrics, {[this] { return isReady(); }, [this] { return status(); }})
    {
    }

    Result<void, NetError> run()
    {
        BOOST_OUTCOME_TRY(m_server.listen(m_settings.listen));
        BOOST_OUTCOME_TRY(m_operator.listen(m_settings.operatorListen));
        BOOST_OUTCOME_TRY(m_agentControl.start());
        scheduleLoadReport();
        m_signals.async_wait([this](SystemError error, int) {
            if (!error) {
                m_isLeaving = true;
                m_agentControl.leave();
                asio::post(m_traffic, [this] {
                    m_server.startLeaving();
                    continueLeaving(1);
                });
            }
        });
        std::thread control([this] { m_control.run(); });
        m_traffic.run();
        m_control.stop();
        control.join();
        return success();
    }

private:
    void apply(const std::shared_ptr<const Configuration> &configuration)
    {
        asio::post(m_traffic, [this, configuration] { m_server.apply(*configuration); });
    }

    /// Checks periodically whether the process must exit. Decides that on the traffic thread, so that nothing can
    /// arrive between the decision and the exit.
    void continueLeaving(std::uint64_t tick)
    {
        const bool mustExit = m_server.continueLeaving();
        if (mustExit) {
            logEvent(
                LogLevel::Info,
                "exit",
                {{"reason", m_server.hasEndedWork() ? "time-over" : "left"}, {"running", m_server.runningCount()}});
            m_traffic.stop();
            return;
        }
        if (tick % DrainTicksPerLog == 0) {
            logEvent(LogLevel::Info, "drain-progress", {{"running", m_server.runningCount()}});
        }
        m_exitTimer.expires_after(DrainTickPeriod);
        m_exitTimer.async_wait([this, tick](SystemError) { continueLeaving(tick + 1); });
    }

    /// Passes the load from the traffic thread to the control thread, periodically.
    void scheduleLoadReport()
    {
        m_loadTimer.expires_after(LoadReportPeriod);
        m_loadTimer.async_wait([this](SystemError error) {
            if (error) {
                return;
            }
            asio::post(m_control, [this, load = m_server.makeLoadReport()] { m_agentControl.setLoad(load); });
            scheduleLoadReport();
        });
    }

    bool isReady() const
    {
        return m_agentControl.isReady() && !m_isLeaving;
    }

    std::string status() const
    {
        return nlohmann::json{{"backend_server", m_settings.backendServer.value()},
                              {"failure_domain", m_settings.failureDomain.value()},
                              {"ready", isReady()},
                              {"configuration_version", m_agentControl.configurationVersion()},
                              {"leaving", m_isLeaving.load()}}
            .dump();
    }

    const AgentSettings &m_settings;
    asio::io_context m_control;
    asio::io_context m_traffic;
    MetricsRegistry m_metrics;
    asio::signal_set m_signals;
    asio::steady_timer m_exitTimer;
    asio::steady_timer m_loadTimer;
    std::atomic<bool> m_isLeaving = false;
    AgentServer m_server;
    AgentControl m_agentControl;
    OperatorServer m_operator;
};

} // namespace

Result<void, NetError> runAgent(const AgentSettings &settings)
{
    AgentProgram program(settings);
    return program.run();
}

} // namespace Cardamomhill
