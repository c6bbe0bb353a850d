#pragma once

#include <cstddef>
#include <cstdint>

namespace Cardamomhill
{

/// What the ranks and the weight store of a group can take.
struct PlacementLimits {
    /// Replicas that a rank has room for in one layer.
    std::size_t slotsPerRankAndLayer = 0;
    /// Bytes for replicas on a rank, over all layers; 0 when the slots are the only limit.
    std::uint64_t bytesPerRank = 0;
    std::uint64_t bytesPerExpert = 0;
    std::uint64_t storeBytesPerSecond = 0;
};

} // namespace Cardamomhill
