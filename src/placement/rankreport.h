#pragma once

#include "core/clocktypes.h"
#include "placement/groupshape.h"

#include <cstdint>
#include <vector>

namespace Cardamomhill
{

/// The counters of one rank. All counters grow from the start of the rank's process, so a lost report loses no tokens.
struct RankReport {
    RankIndex rank = 0;
    /// Higher after each restart of the rank.
    std::uint64_t incarnation = 0;
    /// Higher with each report of an incarnation.
    std::uint64_t sequence = 0;
    /// When the report arrived here, on the local clock.
    SteadyTime receivedAt{};
    std::uint64_t steps = 0;
    /// Time that the rank computed in expert layers, without waiting for other ranks.
    Microseconds busyTime{0};
    /// Tokens that the rank's router sent to each (layer, expert), wherever the replica is. Counting at the router
    /// keeps the counts independent of the expert map.
    std::vector<std::uint64_t> tokens;
};

} // namespace Cardamomhill
