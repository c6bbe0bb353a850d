#pragma once

#include <cstdint>
#include <optional>

namespace Cardamomhill
{

/// A switch that a rank will make.
struct ArmedMap {
    std::uint64_t version = 0;
    std::uint64_t step = 0;

    bool operator==(const ArmedMap &) const = default;
};

/// What the engine of a rank reports of its group and map. Some hundred milliseconds old.
struct RankState {
    std::uint64_t epoch = 0;
    bool isOpen = false;
    /// The last step that was begun.
    std::uint64_t step = 0;
    std::uint64_t mapVersion = 0;
    std::optional<ArmedMap> armed;
    std::optional<std::uint64_t> heldStep;
    /// Requests that run and that wait at the rank.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// How many times longer than usual the rank's work takes.
    double slowness = 1;
};

} // namespace Cardamomhill
