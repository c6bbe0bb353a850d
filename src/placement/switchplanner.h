#pragma once

#include "placement/expertmap.h"

#include <cstddef>
#include <span>

namespace Cardamomhill
{

/// Limits of one switch of a group's map.
struct SwitchLimits {
    /// Replicas that a rank can hold in one layer.
    std::size_t slotsPerRankAndLayer = 0;
    /// Replicas that a rank can copy for one switch in one layer.
    std::size_t copiesPerRankAndLayer = 0;
    /// Fraction of the mean load by which each copy must reduce the load of its layer's slowest rank.
    double gainPerCopy = 0;
    /// Replicas that a rank can copy for one switch in all layers together; 0 if not limited. The switch waits for the
    /// rank with most copies.
    std::size_t copiesPerRank = 0;
};

/// A map for the present load, with its cost and effect.
struct SwitchPlan {
    ExpertMap map;
    /// Greatest number of replicas that one rank copies, over all layers.
    std::size_t maximumCopiesPerRank = 0;
    /// Replicas that all ranks copy together.
    std::size_t copies = 0;
    /// Load of the slowest rank over the mean, averaged over the layers.
    double skewBefore = 1;
    double skewAfter = 1;
};

/// Load of the slowest rank over the mean, averaged over the layers. 1 for a layer without load.
/// @param tokens, speeds as for planSwitch()
double meanSkew(const ExpertMap &map, std::span<const double> tokens, std::span<const double> speeds);

/// Plans one switch that evens out the load of the ranks layer by layer.
///
/// For loads that change within seconds: it considers only the present load and assumes that it outlasts the copying.
/// Planner, by contrast, is for loads that last for minutes.
/// @param tokens load of each (layer, expert), ordered layer by layer
/// @param speeds one entry for each rank, 1 for a rank of normal speed
SwitchPlan planSwitch(const ExpertMap &map,
                      std::span<const double> tokens,
                      std::span<const double> speeds,
                      const SwitchLimits &limits);

} // namespace Cardamomhill
