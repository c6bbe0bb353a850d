#include "soak/stabilitytracker.h"

#include <algorithm>

namespace Cardamomhill
{

void StabilityTracker::markUnstable(SteadyTime until)
{
    m_unstableUntil = std::max(m_unstableUntil, until);
}

bool StabilityTracker::isStableSince(SteadyTime since) const
{
    return m_unstableUntil + StableWindow <= since;
}

} // namespace Cardamomhill
