#pragma once

#include "core/clocktypes.h"

namespace Cardamomhill
{

inline SteadyTime steadyNow()
{
    return std::chrono::time_point_cast<Microseconds>(std::chrono::steady_clock::now());
}

inline WallTime wallNow()
{
    return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
}

} // namespace Cardamomhill
