#include "gateway/callerloadreport.h"

#include "logging/logging.h"
#include "metrics/metricsregistry.h"
#include "net/freedmemory.h"
#include "net/httpserver.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

constexpr Milliseconds LogPeriod{5000};
/// Memory is given back when bodies took more than this and take less than half of it now, at most once in the period.
constexpr std::size_t MinReturnedBytes = 4 * 1024 * 1024;
constexpr Milliseconds ReturnPeriod{5000};

} // namespace

CallerLoadReport::CallerLoadReport(MetricsRegistry &metrics)
    : m_metrics(metrics)
{
}

void CallerLoadReport::record(const HttpServer &server, SteadyTime now)
{
    const auto counts = server.counts();
    const auto bodyBytes = server.bodyBytes();
    m_metrics.gauge("body_bytes").set(static_cast<std::int64_t>(bodyBytes));
    m_metrics.gauge("answer_bytes").set(static_cast<std::int64_t>(server.answerBytes()));
    m_metrics.gauge("caller_connections").set(static_cast<std::int64_t>(server.connectionCount()));
    m_metrics.counter("bodies_refused_total").add(counts.refusedBodies - m_counted.refusedBodies);
    m_metrics.counter("bodies_dropped_total").add(counts.droppedBodies - m_counted.droppedBodies);
    m_metrics.counter("bodies_skipped_total").add(counts.skippedBodies - m_counted.skippedBodies);
    m_metrics.counter("connections_refused_total").add(counts.refusedConnections - m_counted.refusedConnections);
    m_metrics.counter("connections_displaced_total").add(counts.displacedConnections - m_counted.displacedConnections);
    m_metrics.counter("answers_displaced_total").add(counts.displacedAnswers - m_counted.displacedAnswers);
    m_metrics.counter("answers_refused_memory_total").add(counts.refusedAnswers - m_counted.refusedAnswers);
    m_counted = counts;
    // A skipped body is one of a refused call, which is logged by itself.
    auto limited = counts;
    limited.skippedBodies = 0;
    // An answer that waits for memory is refused it many times.
    limited.refusedAnswers = 0;
    logRefusals(limited, bodyBytes, now);
    returnMemory(bodyBytes, now);
}

void CallerLoadReport::logRefusals(const HttpServerCounts &counts, std::size_t bodyBytes, SteadyTime now)
{
    if (counts == m_logged || now - m_loggedAt < LogPeriod) {
        return;
    }
    logEvent(LogLevel::Warning,
             "callers-limited",
             {{"bodies_refused", counts.refusedBodies - m_logged.refusedBodies},
              {"bodies_dropped", counts.droppedBodies - m_logged.droppedBodies},
              {"connections_refused", counts.refusedConnections - m_logged.refusedConnections},
              {"connections_displaced", counts.displacedConnections - m_logged.displacedConnections},
              {"answers_displaced", counts.displacedAnswers - m_logged.displacedAnswers},
              {"body_bytes", bodyBytes}});
    m_logged = counts;
    m_loggedAt = now;
}

void CallerLoadReport::returnMemory(std::size_t bodyBytes, SteadyTime now)
{
    m_peakBytes = std::max(m_peakBytes, bodyBytes);
    if (m_peakBytes >= MinReturnedBytes && bodyBytes < m_peakBytes / 2 && now - m_returnedAt >= ReturnPeriod) {
        returnFreedMemory();
        m_peakBytes = bodyBytes;
        m_returnedAt = now;
    }
}

} // namespace Cardamomhill
