#include "soak/calmness.h"

#include <algorithm>

namespace Cardamomhill
{

void Calmness::disturb(SteadyTime until)
{
    m_disturbedUntil = std::max(m_disturbedUntil, until);
}

bool Calmness::isCalmSince(SteadyTime since) const
{
    return m_disturbedUntil + StableWindow <= since;
}

} // namespace Cardamomhill
