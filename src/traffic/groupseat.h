#pragma once

#include "core/identifiers.h"

#include <cstdint>

namespace Cardamomhill
{

/// The place of a model engine in its lock-step group.
struct GroupSeat {
    GroupId group;
    /// Counts the times that the group was formed.
    std::uint64_t epoch = 0;
    std::uint32_t rank = 0;
    /// Ranks of the group.
    std::uint32_t size = 0;
    /// The group makes steps; else all its ranks refuse calls.
    bool isOpen = true;

    bool operator==(const GroupSeat &) const = default;
};

} // namespace Cardamomhill
