#pragma once

#include "core/identifiers.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace Cardamomhill
{

/// The hosts in their order of preference for a key (rendezvous hash). All processes that know the same hosts get
/// the same order, and adding or removing a host leaves the order of all others unchanged.
std::vector<HostId> rendezvousOrder(std::string_view key, std::vector<HostId> hosts);

} // namespace Cardamomhill
