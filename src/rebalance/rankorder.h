#pragma once

#include "core/clocktypes.h"
#include "placement/expertmap.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <variant>

namespace Cardamomhill
{

/// Starts copying the experts of a new map that the rank does not hold yet.
struct PrepareMap {
    std::uint64_t version = 0;
    std::shared_ptr<const ExpertMap> map;
};

/// Makes the rank switch to a prepared map when the given step begins.
struct ArmMap {
    std::uint64_t version = 0;
    std::uint64_t step = 0;
};

/// Cancels an ArmMap order that has not taken effect.
struct DisarmMap {
    std::uint64_t version = 0;
};

/// Prevents the whole group from beginning the given step.
struct HoldStep {
    std::uint64_t step = 0;
};

struct ReleaseStep {
    std::uint64_t step = 0;
};

using OrderAction = std::variant<PrepareMap, ArmMap, DisarmMap, HoldStep, ReleaseStep>;

/// An order to the engine of one rank. The engine refuses it if it has seen a higher token or runs in another epoch.
struct RankOrder {
    std::size_t rank = 0;
    std::uint64_t token = 0;
    std::uint64_t epoch = 0;
    OrderAction action;
    SteadyTime sentAt{};
    /// How long to wait for the answer, besides the time to send a map.
    Milliseconds answerLimit{1000};
};

} // namespace Cardamomhill
