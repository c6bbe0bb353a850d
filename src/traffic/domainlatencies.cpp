#include "traffic/domainlatencies.h"

#include <algorithm>
#include <cmath>

namespace Cardamomhill
{

namespace
{

/// A measurement counts in full for this time, and then half as much after each `HalfLife`. Hosts with calls set up
/// connections within seconds.
constexpr Seconds FreshTime{10};
constexpr Seconds HalfLife{10};

} // namespace

void DomainLatencies::record(const FailureDomainId &domain, Microseconds setupTime, SteadyTime now)
{
    auto &setups = m_domains[domain];
    setups.times[setups.count++ % MaxSetups] = setupTime;
    setups.latestAt = now;
}

Microseconds DomainLatencies::roundTrip(const FailureDomainId &domain, SteadyTime now) const
{
    const auto found = m_domains.find(domain);
    if (found == m_domains.end()) {
        return Microseconds(0);
    }
    const auto &setups = found->second;
    const auto count = static_cast<std::ptrdiff_t>(std::min(setups.count, MaxSetups));
    const auto shortest = *std::min_element(setups.times.begin(), setups.times.begin() + count);
    const auto staleTime = std::chrono::duration<double>(now - setups.latestAt - FreshTime);
    const double fraction
        = std::exp2(-std::max(staleTime.count(), 0.0) / std::chrono::duration<double>(HalfLife).count());
    return std::chrono::duration_cast<Microseconds>(shortest * fraction);
}

} // namespace Cardamomhill
