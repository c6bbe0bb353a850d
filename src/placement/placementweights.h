#pragma once

namespace Cardamomhill
{

/// How a profile weights step-time skew against the cost of rebalancing. Only the ratio matters.
struct PlacementWeights {
    double skew = 1;
    double cost = 1;
};

} // namespace Cardamomhill
