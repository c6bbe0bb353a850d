#pragma once

#include "traffic/serverloads.h"

#include <unordered_map>

namespace Cardamomhill
{

/// How many times longer than usual the work of a server takes; servers that are not named have the usual speed.
using ServerSlowness = std::unordered_map<ServerKey, float>;

} // namespace Cardamomhill
