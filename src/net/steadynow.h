#pragma once

#include "core/clocktypes.h"

namespace Cardamomhill
{

inline SteadyTime steadyNow()
{
    return std::chrono::time_point_cast<Microseconds>(std::chrono::steady_clock::now());
}

/// Not positive once the time has come.
inline Milliseconds timeLeft(SteadyTime end)
{
    return std::chrono::duration_cast<Milliseconds>(end - steadyNow());
}

inline WallTime wallNow()
{
    return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
}

} // namespace Cardamomhill
