#pragma once

#include "core/clocktypes.h"

#include <cstddef>
#include <cstdint>

namespace Cardamomhill
{

/// What one HTTP connection may cost.
struct HttpLimits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 1024 * 1024;
    /// Longest time from the first byte of a request to its last; ends slow senders.
    Milliseconds requestTimeout{10'000};
    /// Longest time that a connection may stay open without a request.
    Milliseconds idleTimeout{60'000};
    /// Longest time for one write; ends callers that stop reading.
    Seconds writeTimeout{30};
    std::size_t connections = 4096;
};

} // namespace Cardamomhill
