#pragma once

#include "placement/expertmap.h"

#include <cstddef>
#include <span>

namespace Cardamomhill
{

/// What one switch of a group's map may change.
struct SwitchLimits {
    /// Replicas that a rank has room for in one layer.
    std::size_t placesPerRank = 0;
    /// Replicas that a rank can copy for one switch in one layer.
    std::size_t copiesPerRank = 0;
    /// Part of the mean load by which each copy must lower that of the slowest rank of its layer.
    double gainPerCopy = 0;
};

/// A map for the present load, and what it would bring.
struct SwitchPlan {
    ExpertMap map;
    /// Greatest number of replicas that one rank copies, over all layers.
    std::size_t mostCopies = 0;
    /// Replicas that all ranks copy together.
    std::size_t copies = 0;
    /// Load of the slowest rank over the mean, averaged over the layers.
    double skewBefore = 1;
    double skewAfter = 1;
};

/// Plans one switch that evens out the load of the ranks layer by layer.
///
/// For loads that change within seconds: it looks at the present load only and expects it to last longer than the
/// copies take. Planner weighs moves against loads that last for minutes.
/// @param tokens load of each (layer, expert), layer by layer
/// @param speeds one entry for each rank, 1 for a rank of normal speed
SwitchPlan planSwitch(const ExpertMap &map,
                      std::span<const double> tokens,
                      std::span<const double> speeds,
                      const SwitchLimits &limits);

} // namespace Cardamomhill
