#include "traffic/servicetimes.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

constexpr Seconds SampleLifetime{10};

} // namespace

void ServiceTimes::record(const BackendServerId &server, double milliseconds, SteadyTime now)
{
    auto &samples = m_servers[server];
    samples.values[samples.count++ % MaxSamples] = {milliseconds, now};
}

void ServiceTimes::forget(const BackendServerId &server)
{
    m_servers.erase(server);
}

ObservedTimes ServiceTimes::latest(const BackendServerId &server, SteadyTime now) const
{
    ObservedTimes times;
    const auto found = m_servers.find(server);
    if (found == m_servers.end()) {
        return times;
    }
    const auto &samples = found->second;
    for (std::size_t i = 0; i < std::min(samples.count, MaxSamples); ++i) {
        if (now - samples.values[i].at <= SampleLifetime) {
            times.add(samples.values[i].milliseconds);
        }
    }
    return times;
}

} // namespace Cardamomhill
