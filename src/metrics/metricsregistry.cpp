#include "metrics/metricsregistry.h"

#include <sstream>
#include <string_view>

namespace Cardamomhill
{

namespace
{

constexpr std::string_view Prefix = "cardamomhill_";

void writeType(std::ostringstream &text, const std::string &name, std::string_view type, std::string &lastBaseName)
{
    const std::string baseName = name.substr(0, name.find('{'));
    if (baseName != lastBaseName) {
        text << "# TYPE " << Prefix << baseName << ' ' << type << '\n';
        lastBaseName = baseName;
    }
}

} // namespace

Counter &MetricsRegistry::counter(const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    return m_counters[name];
}

Gauge &MetricsRegistry::gauge(const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    return m_gauges[name];
}

LatencySummary &MetricsRegistry::latency(const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    return m_latencies[name];
}

std::string MetricsRegistry::prometheusText() const
{
    const std::lock_guard lock(m_mutex);
    std::ostringstream text;
    std::string lastBaseName;
    for (const auto &[name, counter] : m_counters) {
        writeType(text, name, "counter", lastBaseName);
        text << Prefix << name << ' ' << counter.value() << '\n';
    }
    for (const auto &[name, gauge] : m_gauges) {
        writeType(text, name, "gauge", lastBaseName);
        text << Prefix << name << ' ' << gauge.value() << '\n';
    }
    for (const auto &[name, latency] : m_latencies) {
        writeType(text, name, "summary", lastBaseName);
        const auto values = latency.values();
        for (const auto &quantile : values.quantiles) {
            text << Prefix << name << "{quantile=\"" << quantile.probability << "\"} " << quantile.seconds << '\n';
        }
        text << Prefix << name << "_sum " << values.sumSeconds << '\n';
        text << Prefix << name << "_count " << values.count << '\n';
    }
    return text.str();
}

} // namespace Cardamomhill
