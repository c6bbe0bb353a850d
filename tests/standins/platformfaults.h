#pragma once

#include <cstdint>

namespace Cardamomhill
{

/// Faults of the stand-in platform; set by POST /faults.
struct PlatformFaults {
    /// Every call is answered with 503, except to /faults and /calls.
    bool isDown = false;
    /// Additional time before each answer.
    std::int64_t delayMs = 0;
    /// This many writes are applied, but the connection is closed without an answer.
    std::uint32_t loseWriteAnswers = 0;
};

} // namespace Cardamomhill
