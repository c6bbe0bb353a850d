#pragma once

#include "core/identifiers.h"

#include <cstdint>
#include <unordered_map>

namespace Cardamomhill
{

/// A short name of a backend server in messages between entry hosts. Two servers with the same key look equally loaded,
/// which costs some balance and nothing else.
using ServerKey = std::uint32_t;

ServerKey serverKey(const BackendServerId &id);

/// Calls in progress by backend server.
using ServerLoads = std::unordered_map<ServerKey, std::uint32_t>;

} // namespace Cardamomhill
