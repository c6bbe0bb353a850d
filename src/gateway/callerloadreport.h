#pragma once

#include "core/clocktypes.h"
#include "net/httpservercounts.h"

#include <cstddef>

namespace Cardamomhill
{

class HttpServer;
class MetricsRegistry;

/// Reports what the gateway did to stay within its memory and descriptors, and gives back memory that bodies took.
class CallerLoadReport
{
public:
    explicit CallerLoadReport(MetricsRegistry &metrics);

    /// Sets the metrics and logs refusals, at most once in a period however many there are. To be called once a second.
    void record(const HttpServer &server, SteadyTime now);

private:
    void logRefusals(const HttpServerCounts &counts, std::size_t bodyBytes, SteadyTime now);
    void returnMemory(std::size_t bodyBytes, SteadyTime now);

    MetricsRegistry &m_metrics;
    HttpServerCounts m_counted;
    HttpServerCounts m_logged;
    SteadyTime m_loggedAt{};
    /// The most that bodies took when it was looked at, since memory was last given back.
    std::size_t m_peakBytes = 0;
    SteadyTime m_returnedAt{};
};

} // namespace Cardamomhill
