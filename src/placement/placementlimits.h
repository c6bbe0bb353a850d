#pragma once

#include <cstddef>
#include <cstdint>

namespace Cardamomhill
{

/// Capacity of the ranks and of the weight store, from which ranks fetch the weights of new replicas.
struct PlacementLimits {
    /// Replicas that a rank can hold in one layer.
    std::size_t slotsPerRankAndLayer = 0;
    /// Bytes for replicas on a rank, over all layers; 0 if only the slots are limited.
    std::uint64_t bytesPerRank = 0;
    std::uint64_t bytesPerExpert = 0;
    std::uint64_t storeBytesPerSecond = 0;
};

} // namespace Cardamomhill
