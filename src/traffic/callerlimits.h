#pragma once

#include "core/clocktypes.h"

#include <cstdint>

namespace Cardamomhill
{

/// Limits on the size and duration of a caller's requests, for each connection.
struct CallerLimits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 4 * 1024 * 1024;
    /// Time from the first byte of a request to its last.
    Milliseconds requestReadTimeout{3000};
    /// Time that a connection may stay open without a request.
    Milliseconds idleTimeout{15'000};

    bool operator==(const CallerLimits &) const = default;
};

} // namespace Cardamomhill
