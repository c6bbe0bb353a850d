#include "entry/entryprogram.h"

#include "config/configuration.h"
#include "control/configurationfeed.h"
#include "control/operatorserver.h"
#include "entry/trafficthread.h"
#include "logging/logging.h"
#include "metrics/metricsregistry.h"
#include "net/steadynow.h"
#include "settings/entrysettings.h"

#include <boost/asio/signal_set.hpp>
#include <nlohmann/json.hpp>

#include <memory>
#include <numeric>
#include <thread>
#include <vector>

namespace Cardamomhill
{

namespace
{

constexpr Milliseconds ExitCheckPeriod{50};

/// The threads and parts of one entry process.
class EntryProgram
{
public:
    explicit EntryProgram(const EntrySettings &settings)
        : m_settings(settings)
        , m_signals(m_control, SIGTERM, SIGINT)
        , m_timer(m_control)
        , m_feed(m_control,
                 settings.platform,
                 [this](std::shared_ptr<const Configuration> configuration) { apply(std::move(configuration)); })
        , m_operator(m_control, m_metrics, {[this] { return isReady(); }, [this] { return status(); }})
    {
        const auto incarnation = static_cast<std::uint64_t>(wallNow().time_since_epoch().count());
        for (unsigned i = 0; i < settings.trafficThreads; ++i) {
            m_traffic.push_back(std::make_unique<TrafficThread>(settings, i, incarnation, m_metrics));
        }
    }

    Result<void, NetError> run()
    {
        for (const auto &traffic : m_traffic) {
            BOOST_OUTCOME_TRY(traffic->listen());
        }
        BOOST_OUTCOME_TRY(m_operator.listen(m_settings.operatorListen));
        m_feed.start();
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
    void apply(std::shared_ptr<const Configuration> configuration)
    {
        m_version = configuration->version();
        for (const auto &traffic : m_traffic) {
            asio::post(traffic->context(), [thread = traffic.get(), configuration] { thread->apply(configuration); });
        }
    }

    void startDraining()
    {
        m_isDraining = true;
        logEvent(LogLevel::Info, "draining", {{"requests", requestCount()}});
        m_timer.expires_after(m_settings.drainGrace);
        m_timer.async_wait([this](SystemError) {
            for (const auto &traffic : m_traffic) {
                asio::post(traffic->context(), [thread = traffic.get()] { thread->stopAccepting(); });
            }
            exitWhenIdle();
        });
    }

    void exitWhenIdle()
    {
        m_timer.expires_after(ExitCheckPeriod);
        m_timer.async_wait([this](SystemError) {
            if (requestCount() > 0) {
                exitWhenIdle();
                return;
            }
            logEvent(LogLevel::Info, "exit", {{"reason", "drained"}});
            for (const auto &traffic : m_traffic) {
                traffic->stop();
            }
            m_control.stop();
        });
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
        return m_feed.isReady() && !m_isDraining;
    }

    std::string status() const
    {
        return nlohmann::json{{"host", m_settings.host.value()},
                              {"failure_domain", m_settings.failureDomain.value()},
                              {"ready", isReady()},
                              {"draining", m_isDraining},
                              {"configuration_version", m_version},
                              {"requests", requestCount()}}
            .dump();
    }

    const EntrySettings &m_settings;
    asio::io_context m_control;
    MetricsRegistry m_metrics;
    std::vector<std::unique_ptr<TrafficThread>> m_traffic;
    asio::signal_set m_signals;
    asio::steady_timer m_timer;
    ConfigurationFeed m_feed;
    OperatorServer m_operator;
    std::uint64_t m_version = 0;
    bool m_isDraining = false;
};

} // namespace

Result<void, NetError> runEntry(const EntrySettings &settings)
{
    EntryProgram program(settings);
    return program.run();
}

} // namespace Cardamomhill
