#pragma once

#include <cstdint>

namespace Cardamomhill
{

/// What an attempt does for its call.
enum class AttemptRole : std::uint8_t {
    /// Delivers the answer.
    Only,
    /// Runs beside an attempt whose stream is silent and delivers only if it goes on sooner.
    Continuation,
};

} // namespace Cardamomhill
