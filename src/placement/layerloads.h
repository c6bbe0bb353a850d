#pragma once

#include "placement/expertmap.h"

#include <cstddef>
#include <span>

namespace Cardamomhill
{

/// How the tokens of single steps vary around their mean.
struct StepVariation {
    /// Relative standard deviation of an expert's tokens, in addition to the variation of independent draws.
    double burstDeviation = 0;
    /// Expected maximum over the ranks of a group, in standard deviations.
    double maximumDeviations = 0;

    /// Variance of an expert's tokens in one step, from their mean.
    double varianceOf(double tokens) const
    {
        return tokens + burstDeviation * burstDeviation * tokens * tokens;
    }
};

/// The variation in a group of this many ranks.
StepVariation stepVariation(double burstDeviation, std::size_t ranks);

/// Loads of the ranks in one layer, in tokens per step at normal speed.
struct LayerLoads {
    /// Expected load of the slowest rank: the greatest sum of a rank's mean and the expected maximum of its variation.
    double slowest = 0;
    /// Load with perfect balance of the mean tokens, where experts can be split freely over the ranks.
    double ideal = 0;
    /// Approximate lower bound of `slowest` for any map with the given slots: equal means and equal variances.
    double bound = 0;
    /// Root mean square deviation of the ranks' mean loads from the ideal.
    double spread = 0;
    /// Standard error of a typical rank's load if each expert's load has a relative standard error of 1.
    double errorFactor = 0;
};

/// Computes the loads of the ranks in one layer.
/// @param tokens one entry for each expert of the layer
/// @param speeds one entry for each rank, 1 for a rank of normal speed
/// @param slots replicas that all ranks together can hold in the layer
LayerLoads layerLoads(const ExpertMap &map,
                      std::size_t layer,
                      std::span<const double> tokens,
                      std::span<const double> speeds,
                      const StepVariation &variation,
                      std::size_t slots);

} // namespace Cardamomhill
