#pragma once

#include "metrics/counter.h"
#include "metrics/gauge.h"
#include "metrics/latencysummary.h"

#include <map>
#include <mutex>
#include <string>

namespace Cardamomhill
{

/// The metrics of a process by name. A name may carry fixed labels, such as `requests_total{outcome="completed"}`.
/// Labels come from name tables only, never from input, so that memory stays bounded.
class MetricsRegistry
{
public:
    /// The counter of that name, made at the first call. It lives as long as the registry.
    Counter &counter(const std::string &name);
    Gauge &gauge(const std::string &name);
    LatencySummary &latency(const std::string &name);

    /// All metrics in the Prometheus text format, version 0.0.4. Each name gets the prefix "cardamomhill_".
    std::string prometheusText() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, Counter> m_counters;
    std::map<std::string, Gauge> m_gauges;
    std::map<std::string, LatencySummary> m_latencies;
};

} // namespace Cardamomhill
