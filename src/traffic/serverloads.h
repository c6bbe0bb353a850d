#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

namespace Cardamomhill
{

/// Calls in progress by backend server id.
using ServerLoads = std::unordered_map<std::string, std::uint32_t>;

} // namespace Cardamomhill
