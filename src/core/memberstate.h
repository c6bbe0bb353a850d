#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// The state of an entry host or backend server as its peers know it.
enum class MemberState : std::uint8_t {
    Live,
    /// Takes no new work. An incarnation (one run of a process) never returns from this state.
    Leaving,
    Suspect,
    /// Affects routing only; never transfers ownership.
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
