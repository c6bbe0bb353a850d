#include "entry/entryprogram.h"

#include "config/configuration.h"
#include "control/entrycontrol.h"
#include "control/operatorserver.h"
#include "entry/trafficthread.h"
#include "logging/logging.h"
#include "metrics/metricsregistry.h"
#include "net/freedmemory.h"
#include "net/steadynow.h"
#include "settings/entrysettings.h"

#include <boost/asio/signal_set.hpp>
#include <nlohmann/json.hpp>

#include <memory>
#include <numeric>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace Cardamomhill
{

namespace
{

/// The reason of a thread that had to end no request.
constexpr std::string_view DrainedReason = "drained";

/// An entry process: its traffic threads and the control thread, which handles configuration, membership and signals.
class EntryProgram
{
public:
    explicit EntryProgram(const EntrySettings &settings)
        : m_settings(settings)
        , m_signals(m_control, SIGTERM, SIGINT)
        , m_entryControl(m_control,
                         settings,
                         m_metrics,
                         {[this](const std::shared_ptr<const Configuration> &configuration) { apply(configuration); },
                          [this](const std::vector<ServerStatus> &servers) { updateServers(servers); }})
        , m_operator(m_control, m_metrics, {[this] { return isReady(); }, [this] { return status(); }})
    {
        const auto incarnation = static_cast<std::uint64_t>(wallNow().time_since_epoch().count());
        for (unsigned i = 0; i < settings.trafficThreads; ++i) {
            m_traffic.push_back(
                std::make_unique<TrafficThread>(settings, i, incarnation, m_metrics, [this](std::string_view reason) {
                    asio::post(m_control, [this, text = std::string(reason)] { onThreadDrained(text); });
                }));
        }
    }

    Result<void, NetError> run()
    {
        for (const auto &traffic : m_traffic) {
            BOOST_OUTCOME_TRY(traffic->listen());
        }
        BOOST_OUTCOME_TRY(m_operator.listen(m_settings.operatorListen));
        BOOST_OUTCOME_TRY(m_entryControl.start());
        m_signals.async_wait([this](SystemError error, int) {
            if (!error) {
                startDraining();
            }
        });
        std::vector<std::thread> threads;
        threads.reserve(m_traffic.size());
        for (const auto &traffic : m_traffic) {
            threads.emplace_back([&traffic] { traffic->run(); });
        }
        m_control.run();
        for (auto &thread : threads) {
            thread.join();
        }
        return success();
    }

private:
    void apply(const std::shared_ptr<const Configuration> &configuration)
    {
        for (const auto &traffic : m_traffic) {
            asio::post(traffic->context(), [thread = traffic.get(), configuration] { thread->apply(configuration); });
        }
    }

    void updateServers(const std::vector<ServerStatus> &servers)
    {
        for (const auto &traffic : m_traffic) {
            asio::post(traffic->context(), [thread = traffic.get(), servers] { thread->updateServers(servers); });
        }
    }

    void startDraining()
    {
        m_isDraining = true;
        m_metrics.gauge("draining").set(1);
        m_entryControl.leave();
        logEvent(LogLevel::Info,
                 "draining",
                 {{"requests", requestCount()},
                  {"listener_closes_ms", m_settings.drainGrace.count()},
                  {"killed_ms", m_settings.terminationGrace.count()}});
        m_drainingThreads = m_traffic.size();
        for (const auto &traffic : m_traffic) {
            asio::post(traffic->context(), [thread = traffic.get()] { thread->startDraining(); });
        }
    }

    /// A traffic thread has ended. Each decides about its own end, since a request may arrive at it at any time before.
    void onThreadDrained(std::string_view reason)
    {
        if (m_exitReason.empty() || reason != DrainedReason) {
            m_exitReason = reason;
        }
        if (--m_drainingThreads == 0) {
            logEvent(LogLevel::Info, "exit", {{"reason", m_exitReason}, {"requests", requestCount()}});
            m_control.stop();
        }
    }

    std::size_t requestCount() const
    {
        return std::accumulate(m_traffic.begin(),
                               m_traffic.end(),
                               std::size_t{0},
                               [](std::size_t sum, const auto &traffic) { return sum + traffic->requestCount(); });
    }

    bool isReady() const
    {
        return m_entryControl.isReady() && !m_isDraining;
    }

    std::string status() const
    {
        return nlohmann::json{{"host", m_settings.host.value()},
                              {"failure_domain", m_settings.failureDomain.value()},
                              {"ready", isReady()},
                              {"draining", m_isDraining},
                              {"configuration_version", m_entryControl.configurationVersion()},
                              {"live_entry_hosts", m_entryControl.liveHostCount()},
                              {"requests", requestCount()}}
            .dump();
    }

    const EntrySettings &m_settings;
    asio::io_context m_control;
    MetricsRegistry m_metrics;
    std::vector<std::unique_ptr<TrafficThread>> m_traffic;
    asio::signal_set m_signals;
    EntryControl m_entryControl;
    OperatorServer m_operator;
    bool m_isDraining = false;
    std::size_t m_drainingThreads = 0;
    std::string m_exitReason;
};

} // namespace

Result<void, NetError> runEntry(const EntrySettings &settings)
{
    mapLargeBuffers();
    EntryProgram program(settings);
    return program.run();
}

} // namespace Cardamomhill
