#pragma once

#include "core/clocktypes.h"
#include "placement/groupshape.h"

#include <vector>

namespace Cardamomhill
{

/// The uncertainty and the expected duration of the load in one layer.
struct LayerEstimate {
    /// Standard error of an expert's load, relative to the load.
    double relativeError = 0;
    /// Standard deviation of an expert's load in single report windows, relative to its mean.
    double burstDeviation = 0;
    /// How long the load is expected to stay unchanged.
    Seconds expectedDuration{0};
};

/// The estimated load of a group, which the planner plans for.
struct LoadEstimate {
    GroupShape shape;
    /// Tokens per step of each (layer, expert), over all ranks.
    std::vector<double> tokensPerStep;
    /// One entry for each layer.
    std::vector<LayerEstimate> layers;
    double stepsPerSecond = 0;
    /// Time covered by the reports in the estimate.
    Seconds observedFor{0};
    SteadyTime newestReport{};
};

} // namespace Cardamomhill
