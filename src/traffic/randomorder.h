#pragma once

#include "core/random.h"

#include <cstddef>

namespace Cardamomhill::internal
{

/// Visits each of a number of places once, from a random one and in random strides, without memory for each of them.
class RandomOrder
{
public:
    RandomOrder(std::size_t size, Random &random);

    bool isDone() const;
    /// The next place. Must not be called when all were visited.
    std::size_t next();

private:
    std::size_t m_size;
    std::size_t m_left;
    std::size_t m_place = 0;
    std::size_t m_stride = 1;
};

} // namespace Cardamomhill::internal
