#pragma once

#include "core/clocktypes.h"
#include "placement/groupshape.h"

#include <cstdint>
#include <vector>

namespace Cardamomhill
{

/// The counters of one rank. They are cumulative from the start of the rank's process, so a lost report loses no
/// tokens.
struct RankReport {
    RankIndex rank = 0;
    /// Increases with each restart of the rank.
    std::uint64_t incarnation = 0;
    /// Increases with each report of an incarnation.
    std::uint64_t sequence = 0;
    /// When the report was received, on the local clock.
    SteadyTime receivedAt{};
    std::uint64_t steps = 0;
    /// Computing time in expert layers, without the time spent waiting for other ranks.
    Microseconds busyTime{0};
    /// Tokens that the rank's router sent to each (layer, expert), on whichever rank the replica is. Counting at the
    /// router makes the counts independent of the expert map.
    std::vector<std::uint64_t> tokens;
};

} // namespace Cardamomhill
