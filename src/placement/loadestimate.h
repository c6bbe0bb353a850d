#pragma once

#include "core/clocktypes.h"
#include "placement/groupshape.h"

#include <vector>

namespace Cardamomhill
{

/// What one layer's recent past says about its estimate.
struct LayerOutlook {
    /// Standard error of an expert's load, relative to the load.
    double relativeError = 0;
    /// Standard deviation of an expert's load in one report window around its mean, relative to the mean.
    double burstDeviation = 0;
    /// How long the load is expected to stay as it is.
    Seconds expectedDuration{0};
};

/// The load that the planner plans for.
struct LoadEstimate {
    GroupShape shape;
    /// Tokens for each step and (layer, expert), over all ranks.
    std::vector<double> tokensPerStep;
    /// One entry for each layer.
    std::vector<LayerOutlook> layers;
    double stepsPerSecond = 0;
    /// Time over which reports were folded into the estimate.
    Seconds observedFor{0};
    SteadyTime newestReport{};
};

} // namespace Cardamomhill
