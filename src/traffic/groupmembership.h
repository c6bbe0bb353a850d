#pragma once

#include "core/identifiers.h"

#include <cstdint>

namespace Cardamomhill
{

/// The membership of a model engine in a lock-step group.
struct GroupMembership {
    GroupId group;
    /// Number of times that the group has been formed.
    std::uint64_t epoch = 0;
    std::uint32_t rank = 0;
    /// Number of ranks in the group.
    std::uint32_t size = 0;
    /// Whether the group executes steps. If not, all its ranks refuse calls.
    bool isOpen = true;

    bool operator==(const GroupMembership &) const = default;
};

} // namespace Cardamomhill
