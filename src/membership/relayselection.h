#pragma once

#include "core/identifiers.h"
#include "membership/hostrow.h"

#include <cstddef>
#include <vector>

namespace Cardamomhill
{

/// Chooses the entry hosts that watch the platform for their failure domain: the first two live ones by rendezvous
/// hash. Hosts with different views of the membership may choose different relays; more than two are harmless.
class RelaySelection
{
public:
    static constexpr std::size_t RelayCount = 2;

    /// The relays. While none of the first two reaches the platform, the next two watch as well; there are never more
    /// than four, so that an outage of the platform does not make the whole fleet watch it.
    static std::vector<HostId> relays(const FailureDomainId &domain, const std::vector<HostRow> &hosts);

    static bool isRelay(const HostId &host, const FailureDomainId &domain, const std::vector<HostRow> &hosts);
};

} // namespace Cardamomhill
