#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// The state of an entry host or backend server as its peers know it.
enum class MemberState : std::uint8_t {
    Live,
    /// Final for an incarnation: no new work.
    Leaving,
    Suspect,
    /// A hint for routing only. It never moves the ownership of anything.
    Dead,
};

constexpr auto nameTable(MemberState)
{
    return std::to_array<NamedValue<MemberState>>({
        {MemberState::Live, "live"},
        {MemberState::Leaving, "leaving"},
        {MemberState::Suspect, "suspect"},
        {MemberState::Dead, "dead"},
    });
}

} // namespace Cardamomhill
