#pragma once

#include "core/random.h"

#include <cstddef>

namespace Cardamomhill::internal
{

/// Visits each position of a sequence once, starting at a random one and advancing by a random stride. Needs constant
/// memory, unlike a shuffled list of positions.
class RandomOrder
{
public:
    RandomOrder(std::size_t size, Random &random);

    bool isDone() const;
    /// The next position. Must not be called when isDone().
    std::size_t next();

private:
    std::size_t m_size;
    std::size_t m_remaining;
    std::size_t m_position = 0;
    std::size_t m_stride = 1;
};

} // namespace Cardamomhill::internal
