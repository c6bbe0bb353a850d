#include "objectstore/backoff.h"

#include <algorithm>

namespace Cardamomhill
{

Backoff::Backoff(Milliseconds first, Milliseconds limit)
    : m_first(first)
    , m_limit(limit)
    , m_step(first)
{
}

Microseconds Backoff::next(Random &random)
{
    const Microseconds step = m_step;
    m_step = std::min(m_step * 2, m_limit);
    std::uniform_int_distribution<Microseconds::rep> delay(step.count() / 2, step.count());
    return Microseconds(delay(random));
}

void Backoff::reset()
{
    m_step = m_first;
}

} // namespace Cardamomhill
