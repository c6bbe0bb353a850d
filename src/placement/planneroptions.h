#pragma once

#include "core/clocktypes.h"

#include <cstddef>

namespace Cardamomhill
{

struct PlannerOptions {
    /// A layer is planned for when its slowest rank exceeds the ideal by this part and by what noise explains.
    double triggerBand = 0.03;
    /// A layer is left when its slowest rank is this close to the ideal. Below the trigger, so that a small change
    /// after a plan does not call for the next one.
    double settleBand = 0.005;
    /// Multiplies the expected maximum of the ranks' estimate errors.
    double noiseMargin = 1.5;
    std::size_t maximumStepsPerLayer = 96;
    /// Moves are not undone within this time.
    Seconds cooldown{900};
    Seconds warmUp{60};
    Seconds staleAfter{60};
    /// Rank-time that 10^9 bytes from the weight store are taken to cost: a rank that receives 1 GB/s, fully occupied.
    double rankSecondsPerGigabyte = 1;
    /// Transfers of one plan take at most this long, earlier ones included.
    Seconds maximumTransferTime{60};
    /// The result of a plan is looked at after this time.
    Seconds evaluateAfter{300};
    /// Part of the difference between predicted and actual gain that one plan adds to the confidence.
    double learningRate = 0.3;
    /// Not 0, so that a few bad plans do not end rebalancing for good.
    double minimumConfidence = 0.2;
};

} // namespace Cardamomhill
