#include "traffic/randomorder.h"

#include <numeric>

namespace Cardamomhill::internal
{

RandomOrder::RandomOrder(std::size_t size, Random &random)
    : m_size(size)
    , m_left(size)
{
    if (size < 2) {
        return;
    }
    m_place = random() % size;
    // A stride that has a divisor in common with the size would leave places out.
    do {
        m_stride = 1 + random() % (size - 1);
    } while (std::gcd(m_stride, size) != 1);
}

bool RandomOrder::isDone() const
{
    return m_left == 0;
}

std::size_t RandomOrder::next()
{
    const auto place = m_place;
    m_place = (m_place + m_stride) % m_size;
    --m_left;
    return place;
}

} // namespace Cardamomhill::internal
