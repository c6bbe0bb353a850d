#pragma once

#include "core/clocktypes.h"

#include <cstddef>
#include <functional>
#include <optional>

namespace Cardamomhill
{

/// What an answer holds in memory.
struct HeldAnswer {
    std::size_t bytes = 0;
    /// Since when a write has waited for the caller to read; nothing while none does.
    std::optional<SteadyTime> waitsSince;
    /// Ends the answer, so that its memory is freed.
    std::function<void()> abort;
};

} // namespace Cardamomhill
