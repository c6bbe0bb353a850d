#pragma once

#include <compare>
#include <limits>

namespace Cardamomhill
{

/// How well a server suits a call; the smallest is best.
struct ServerScore {
    /// Failed recently or is slow: chosen only as a last resort.
    bool isAvoided = true;
    /// Expected time to the first event; 0 if it is not estimated.
    double firstEventMs = std::numeric_limits<double>::max();
    double callsPerSlot = std::numeric_limits<double>::max();

    auto operator<=>(const ServerScore &) const = default;
};

} // namespace Cardamomhill
