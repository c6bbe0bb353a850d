#pragma once

#include "core/clocktypes.h"

namespace Cardamomhill
{

inline SteadyTime steadyNow()
{
    return std::chrono::time_point_cast<Microseconds>(std::chrono::steady_clock::now());
}

/// The time until the deadline; not positive once it has passed.
inline Milliseconds timeLeft(SteadyTime deadline)
{
    return std::chrono::duration_cast<Milliseconds>(deadline - steadyNow());
}

inline WallTime wallNow()
{
    return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
}

} // namespace Cardamomhill
