#pragma once

#include <cstdint>
#include <limits>

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

    /// Capacity in the reports of an agent that has not received the configuration of its server. Entry processes get a
    /// configuration before agents do, so this does not mean that the server accepts none.
    static constexpr std::uint32_t UnknownCapacity = std::numeric_limits<std::uint32_t>::max();

    bool isCapacityKnown() const
    {
        return capacity != UnknownCapacity;
    }

    /// The smallest change of the number of requests that is reported at once.
    std::uint32_t significantChange() const
    {
        // A smaller change hardly affects the choice between two servers, but would fill the messages.
        constexpr std::uint32_t SignificantLoadDivisor = 8;
        return isCapacityKnown() && capacity > SignificantLoadDivisor ? capacity / SignificantLoadDivisor : 1;
    }

    bool operator==(const LoadReport &) const = default;
};

} // namespace Cardamomhill
