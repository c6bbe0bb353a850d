#include "traffic/randomorder.h"

#include <numeric>

namespace Cardamomhill::internal
{

RandomOrder::RandomOrder(std::size_t size, Random &random)
    : m_size(size)
    , m_remaining(size)
{
    if (size < 2) {
        return;
    }
    m_position = random() % size;
    // A stride that shares a divisor with the size would skip positions.
    do {
        m_stride = 1 + random() % (size - 1);
    } while (std::gcd(m_stride, size) != 1);
}

bool RandomOrder::isDone() const
{
    return m_remaining == 0;
}

std::size_t RandomOrder::next()
{
    const auto position = m_position;
    m_position = (m_position + m_stride) % m_size;
    --m_remaining;
    return position;
}

} // namespace Cardamomhill::internal
