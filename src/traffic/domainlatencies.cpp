#include "traffic/domainlatencies.h"

#include <algorithm>

namespace Cardamomhill
{

void DomainLatencies::record(const FailureDomainId &domain, Microseconds setupTime)
{
    auto &setups = m_domains[domain];
    setups.times[setups.count++ % MaxSetups] = setupTime;
}

Microseconds DomainLatencies::roundTrip(const FailureDomainId &domain) const
{
    const auto found = m_domains.find(domain);
    if (found == m_domains.end()) {
        return Microseconds(0);
    }
    const auto &setups = found->second;
    const auto count = static_cast<std::ptrdiff_t>(std::min(setups.count, MaxSetups));
    return *std::min_element(setups.times.begin(), setups.times.begin() + count);
}

} // namespace Cardamomhill
