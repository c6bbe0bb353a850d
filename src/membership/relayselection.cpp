#include "membership/relayselection.h"

#include "membership/rendezvous.h"

#include <algorithm>
#include <set>

namespace Cardamomhill
{

std::vector<HostId> RelaySelection::relays(const FailureDomainId &domain, const std::vector<HostRow> &hosts)
{
    std::vector<HostId> live;
    std::set<HostId> inContact;
    for (const auto &row : hosts) {
        if (static_cast<MemberState>(row.state) == MemberState::Live) {
            live.emplace_back(row.name);
            if (!row.isPlatformUnreachable) {
                inContact.emplace(row.name);
            }
        }
    }
    auto order = rendezvousOrder("relays/" + domain.value(), std::move(live));
    const auto first = std::min(order.size(), RelayCount);
    const bool anyInContact = std::any_of(order.begin(),
                                          order.begin() + static_cast<std::ptrdiff_t>(first),
                                          [&](const HostId &host) { return inContact.count(host) > 0; });
    order.resize(std::min(order.size(), anyInContact ? RelayCount : 2 * RelayCount));
    return order;
}

bool RelaySelection::isRelay(const HostId &host, const FailureDomainId &domain, const std::vector<HostRow> &hosts)
{
    const auto chosen = relays(domain, hosts);
    return std::find(chosen.begin(), chosen.end(), host) != chosen.end();
}

} // namespace Cardamomhill
