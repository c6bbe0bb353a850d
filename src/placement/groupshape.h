#pragma once

#include <cstddef>
#include <cstdint>

namespace Cardamomhill
{

using RankIndex = std::uint16_t;
using LayerIndex = std::uint16_t;
using ExpertIndex = std::uint16_t;

/// The size of an expert-parallel group and of the model that it runs.
struct GroupShape {
    std::size_t ranks = 0;
    std::size_t layers = 0;
    /// Experts in each layer.
    std::size_t experts = 0;

    /// The number of cells, that is (layer, expert) pairs. Vectors with one value for each are ordered layer by layer.
    std::size_t cellCount() const
    {
        return layers * experts;
    }

    bool operator==(const GroupShape &) const = default;
};

} // namespace Cardamomhill
