#pragma once

#include <chrono>

namespace Cardamomhill
{

/// A time of the steady clock. Not comparable between processes.
using SteadyTime = std::chrono::time_point<std::chrono::steady_clock, std::chrono::microseconds>;

/// A time of the wall clock (Unix time). Clocks of different hosts differ.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

using Microseconds = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

} // namespace Cardamomhill
