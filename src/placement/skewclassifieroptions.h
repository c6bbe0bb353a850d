#pragma once

#include <cstddef>

namespace Cardamomhill
{

struct SkewClassifierOptions {
    /// Windows over which the median speed of a rank is taken. A stall that lasts less than half of them does not move
    /// the median: 90 s at one window each 10 s.
    std::size_t windows = 18;
    /// Fewer windows than this say nothing about a rank's speed.
    std::size_t minimumWindows = 6;
    /// A rank is slow below the first factor, and stays so until it exceeds the second.
    double slowBelow = 0.9;
    double normalAbove = 0.95;
    /// A slow rank's factor is changed only by more than this, so that its noise does not cause moves.
    double speedStep = 0.05;
    /// A rank stalls when its newest window is this part of its median speed or less.
    double stallBelow = 0.75;
    /// Spread below which no kind is named.
    double minimumSkew = 1.02;
};

} // namespace Cardamomhill
