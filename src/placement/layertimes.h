#pragma once

#include "placement/expertmap.h"

#include <cstddef>
#include <span>

namespace Cardamomhill
{

/// How the tokens of single steps vary around their means.
struct StepVariation {
    /// Relative standard deviation of an expert's tokens, beside the variation of drawing them independently.
    double burstDeviation = 0;
    /// Expected maximum, in standard deviations, over the ranks of a group.
    double maximumDeviations = 0;

    double varianceOf(double tokens) const
    {
        return tokens + burstDeviation * burstDeviation * tokens * tokens;
    }
};

/// The variation in a group of this many ranks.
StepVariation stepVariation(double burstDeviation, std::size_t ranks);

/// Loads of the ranks in one layer, in tokens at normal speed for each step.
struct LayerTimes {
    /// Expected load of the slowest rank: the greatest mean plus the expected maximum of the variation.
    double slowest = 0;
    /// Perfect balance of the mean tokens: the fractional lower bound.
    double ideal = 0;
    /// About the least value of `slowest` for any map with the given slots: equal means and equal variances.
    double bound = 0;
    /// Root mean square of the ranks' distances from the ideal, in mean tokens.
    double spread = 0;
    /// Standard error of a typical rank's load when each expert's load has a relative standard error of 1.
    double errorFactor = 0;
};

/// `tokens` has one entry for each expert of the layer, `speeds` one for each rank. `slots` are the replicas that all
/// ranks together have room for in the layer.
LayerTimes layerTimes(const ExpertMap &map,
                      std::size_t layer,
                      std::span<const double> tokens,
                      std::span<const double> speeds,
                      const StepVariation &variation,
                      std::size_t slots);

} // namespace Cardamomhill
