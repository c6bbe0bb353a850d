#pragma once

#include "core/clocktypes.h"

#include <cstddef>

namespace Cardamomhill
{

struct PlannerOptions {
    /// The moves of a layer must lower its slowest rank by this part of the ideal, and by what errors of the estimate
    /// can suggest. Without a lower limit, a small change after a plan would call for the next one.
    double requiredGain = 0.015;
    /// The same for a load that is younger than `youngLoad`. The longer it has lasted, the longer it is expected to
    /// last, so moves that were not worth their cost become so; what is left after that time is not.
    double requiredGainYoung = 0.005;
    Seconds youngLoad{570};
    /// A layer is left when its slowest rank is this close to the ideal.
    double settleBand = 0.005;
    /// Multiplies the expected maximum of the ranks' estimate errors, which is what a single rank must exceed.
    double noiseMargin = 4.5;
    double noiseMarginYoung = 1;
    /// How many standard deviations the ranks' mean squared distance from balance must exceed its expectation, for all
    /// ranks together to show an imbalance that no single one shows.
    double significance = 16;
    std::size_t maximumStepsPerLayer = 96;
    /// Searches over all ranks in one decision; each takes about 0.4 ms at 32 ranks and 3 ms at 8.
    std::size_t wideSearches = 12;
    /// Several ranks can share the greatest load, so steps without a gain are followed for a while.
    std::size_t stepsWithoutGain = 12;
    /// Moves are not undone within this time: the ten minutes of the measure and the longest transfer.
    Seconds cooldown{660};
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
