#pragma once

#include <cstdint>

namespace Cardamomhill
{

/// Faults of the stand-in platform; switched by POST /faults.
struct PlatformFaults {
    /// Every call is answered with 503.
    bool isDown = false;
    std::int64_t delayMs = 0;
    /// This many writes take effect, and then the connection is closed without an answer.
    std::uint32_t loseWriteAnswers = 0;
};

} // namespace Cardamomhill
