#pragma once

#include "traffic/serverloads.h"

#include <unordered_map>

namespace Cardamomhill
{

/// The factor by which the work of each slow server takes longer than usual. Servers without an entry are not slow.
using SlowdownFactors = std::unordered_map<ServerKey, float>;

} // namespace Cardamomhill
