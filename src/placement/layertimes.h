#pragma once

#include "placement/expertmap.h"

#include <cstddef>
#include <span>

namespace Cardamomhill
{

/// Loads of the ranks in one layer, in tokens at normal speed for each step.
struct LayerTimes {
    double slowest = 0;
    /// Perfect balance of the same tokens: the fractional lower bound.
    double ideal = 0;
    /// Standard error of a typical rank's load when each expert's load has a relative standard error of 1.
    double errorFactor = 0;
};

/// `tokens` has one entry for each expert of the layer, `speeds` one for each rank.
LayerTimes
layerTimes(const ExpertMap &map, std::size_t layer, std::span<const double> tokens, std::span<const double> speeds);

} // namespace Cardamomhill
