#pragma once

#include <cstdint>

namespace Cardamomhill
{

/// The load that a backend server reports. Reports may arrive late; a higher sequence number is newer.
struct LoadReport {
    std::uint64_t sequence = 0;
    /// Requests that are running.
    std::uint32_t running = 0;
    /// Requests that wait in the backend server's queue.
    std::uint32_t queued = 0;
    /// Requests that may run at the same time; 0 means that the server accepts none.
    std::uint32_t capacity = 0;

    bool operator==(const LoadReport &) const = default;
};

} // namespace Cardamomhill
