#include "membership/rendezvous.h"

#include "core/hash.h"

#include <algorithm>
#include <utility>

namespace Cardamomhill
{

std::vector<HostId> rendezvousOrder(std::string_view key, std::vector<HostId> hosts)
{
    const auto score
        = [seed = hash64(key)](const HostId &host) { return std::pair(hash64(host.value(), seed), host.value()); };
    std::sort(hosts.begin(), hosts.end(), [&](const HostId &left, const HostId &right) {
        return score(left) > score(right);
    });
    return hosts;
}

} // namespace Cardamomhill
