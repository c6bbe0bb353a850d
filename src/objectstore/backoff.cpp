#include "objectstore/backoff.h"

#include <algorithm>

namespace Cardamomhill
{

Backoff::Backoff(Milliseconds firstDelay, Milliseconds maxDelay)
    : m_firstDelay(firstDelay)
    , m_maxDelay(maxDelay)
    , m_step(firstDelay)
{
}

Microseconds Backoff::next(Random &random)
{
    const Microseconds step = m_step;
    m_step = std::min(m_step * 2, m_maxDelay);
    std::uniform_int_distribution<Microseconds::rep> delay(step.count() / 2, step.count());
    return Microseconds(delay(random));
}

void Backoff::reset()
{
    m_step = m_firstDelay;
}

} // namespace Cardamomhill
