#pragma once

#include <cstdint>
#include <optional>

namespace Cardamomhill
{

/// A switch to another map that a rank makes when the given step begins.
struct ArmedMap {
    std::uint64_t version = 0;
    std::uint64_t step = 0;

    bool operator==(const ArmedMap &) const = default;
};

/// Report of a rank's engine on its group and map. It may be some hundred milliseconds old.
struct RankState {
    std::uint64_t epoch = 0;
    bool isOpen = false;
    /// The last step that has begun.
    std::uint64_t step = 0;
    std::uint64_t mapVersion = 0;
    std::optional<ArmedMap> armed;
    std::optional<std::uint64_t> heldStep;
    /// Number of requests that run and that are queued at the rank.
    std::uint32_t runningRequests = 0;
    std::uint32_t queuedRequests = 0;
    /// Time that the rank's work takes, as a multiple of the usual time.
    double slowdownFactor = 1;
};

} // namespace Cardamomhill
