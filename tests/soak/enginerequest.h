#pragma once

#include "core/clocktypes.h"

#include <cstddef>
#include <optional>
#include <string>

namespace Cardamomhill
{

/// A request to the engine service of the soak, and what became of it.
struct EngineRequest {
    /// The id of the first try; a retry appends to it.
    std::string id;
    /// The name of its route.
    std::string kind;
    std::string organisation;
    std::size_t host = 0;
    SteadyTime sentAt{};
    /// When it was sent again after a rejection.
    std::optional<SteadyTime> retriedAt;
    /// Whether it was sent while too many requests came.
    bool isInSurge = false;
};

} // namespace Cardamomhill
