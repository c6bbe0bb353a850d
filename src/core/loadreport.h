#pragma once

#include <cstdint>

namespace Cardamomhill
{

/// What a backend server says of its load. Reports arrive late; a higher sequence number is newer.
struct LoadReport {
    std::uint64_t sequence = 0;
    /// Requests that run now.
    std::uint32_t running = 0;
    /// Requests that wait inside the backend server.
    std::uint32_t queued = 0;
    /// Requests that may run at once; 0 means that the server takes none.
    std::uint32_t capacity = 0;

    bool operator==(const LoadReport &) const = default;
};

} // namespace Cardamomhill
