#pragma once

#include "core/identifiers.h"

#include <cstdint>
#include <unordered_map>

namespace Cardamomhill
{

/// A hash of the id of a backend server, which identifies it in notices between entry hosts. If two ids have the same
/// hash, the servers appear equally loaded, which only makes the balance worse.
using ServerKey = std::uint32_t;

ServerKey serverKey(const BackendServerId &id);

/// Calls in progress for each backend server.
using ServerLoads = std::unordered_map<ServerKey, std::uint32_t>;

} // namespace Cardamomhill
