#pragma once

#include "core/clocktypes.h"

#include <cstdint>

namespace Cardamomhill
{

/// What a caller may send on one connection, and how long it may take.
struct CallerLimits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 4 * 1024 * 1024;
    /// From the first byte of a request to its last.
    Milliseconds requestTimeout{3000};
    /// Without any request.
    Milliseconds idleTimeout{15'000};

    bool operator==(const CallerLimits &) const = default;
};

} // namespace Cardamomhill
