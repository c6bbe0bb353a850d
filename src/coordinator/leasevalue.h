#pragma once

#include "traffic/serverslowness.h"

#include <string>

namespace Cardamomhill
{

/// The value of a group's lease: who holds it, and what other hosts should know of the group.
struct LeaseValue {
    std::string host;
    std::string incarnation;
    ServerSlowness slowRanks;
};

} // namespace Cardamomhill
