#pragma once

#include "core/clocktypes.h"

#include <cstddef>

namespace Cardamomhill
{

/// Parameters of Planner.
struct PlannerOptions {
    /// The moves of a layer must reduce the load of its slowest rank by this fraction of the ideal load, plus the
    /// apparent gain that errors of the estimate can cause. Without this minimum, a small change of the load after a
    /// plan would cause the next plan.
    double requiredGain = 0.015;
    /// The same for a load whose expected duration is below `recentLoadAge`. That duration grows with the time that the
    /// load has lasted, so moves that were not worth their cost at first can become so until then, but not later.
    double requiredGainRecentLoad = 0.005;
    Seconds recentLoadAge{570};
    /// A layer counts as balanced when its slowest rank is within this fraction of the ideal above the lower bound.
    double balancedTolerance = 0.005;
    /// Factor on the expected maximum of the ranks' estimate errors. The excess of the slowest rank must be above the
    /// product, unless the imbalance is significant over all ranks.
    double noiseMargin = 4.5;
    double noiseMarginRecentLoad = 1;
    /// Number of standard deviations by which the ranks' mean squared deviation from balance must exceed its
    /// expectation to show an imbalance over all ranks that no single rank shows.
    double significanceDeviations = 16;
    std::size_t maximumStepsPerLayer = 96;
    /// Maximum number of searches over all ranks per decision; each takes about 0.4 ms at 32 ranks and 3 ms at 8.
    std::size_t fullSearches = 12;
    /// Steps without a gain after which the search stops. Several ranks can have the same greatest load, so single
    /// steps may show no gain.
    std::size_t stepsWithoutGain = 12;
    /// Moves are not reversed within this time: the ten minutes within which the benchmark counts reversals, and the
    /// longest transfer.
    Seconds cooldown{660};
    /// Minimum observed time before the first plan.
    Seconds warmUp{60};
    /// Age of the newest report above which no plan is made.
    Seconds staleAfter{60};
    /// Assumed cost of transferring 10^9 bytes from the weight store: a rank receives 1 GB/s and does nothing else.
    double rankSecondsPerGigabyte = 1;
    /// Maximum time for the transfers of one plan and of those still pending.
    Seconds maximumTransferTime{60};
    /// The actual gain of a plan is evaluated this long after its transfers.
    Seconds evaluateAfter{300};
    /// Weight of one plan's ratio of actual to predicted gain in the confidence, an exponential average.
    double learningRate = 0.3;
    /// Above 0, so that a few bad plans do not stop rebalancing permanently.
    double minimumConfidence = 0.2;
};

} // namespace Cardamomhill
