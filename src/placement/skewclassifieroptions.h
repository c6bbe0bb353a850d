#pragma once

#include <cstddef>

namespace Cardamomhill
{

/// Parameters of SkewClassifier.
struct SkewClassifierOptions {
    /// Number of windows in the median of a rank's speed. A stall shorter than half of them does not change the median:
    /// 90 s at one window each 10 s.
    std::size_t windows = 18;
    /// Minimum number of windows to estimate a rank's speed.
    std::size_t minimumWindows = 6;
    /// A rank counts as slow when its speed, relative to the typical rank, falls below the first value, and until it
    /// exceeds the second (hysteresis).
    double slowBelow = 0.9;
    double normalAbove = 0.95;
    /// A slow rank's speed is updated only if it changes by more than this, so that noise does not cause moves.
    double speedStep = 0.05;
    /// A rank is stalled if its speed in the newest window is at most this fraction of its median speed.
    double stallBelow = 0.75;
    /// Skew (slowest rank over the mean) up to which the load counts as even, if no rank is slow or stalled.
    double minimumSkew = 1.02;
};

} // namespace Cardamomhill
