#pragma once

#include "core/nametable.h"

#include <cstdint>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// Why a rank refused a request of a coordinator.
enum class RefusalReason : std::uint8_t {
    /// The rank has promised a higher ballot.
    Outranked,
    /// The ballot was not promised in this session of the participant.
    NotPromised,
    /// The weights of the map are not staged.
    NotStaged,
    /// The map is not newer than the rank's map.
    OldMap,
    /// An earlier accepted proposal is not resolved.
    Unresolved,
    /// The engine has a committed switch that it has not made yet.
    SwitchPending,
    /// The step was started, or its number was used for an earlier hold.
    TooLate,
    /// The proposal has been resolved.
    AlreadyResolved,
};

constexpr auto nameTable(RefusalReason)
{
    return std::to_array<NamedValue<RefusalReason>>({
        {RefusalReason::Outranked, "outranked"},
        {RefusalReason::NotPromised, "not-promised"},
        {RefusalReason::NotStaged, "not-staged"},
        {RefusalReason::OldMap, "old-map"},
        {RefusalReason::Unresolved, "unresolved"},
        {RefusalReason::SwitchPending, "switch-pending"},
        {RefusalReason::TooLate, "too-late"},
        {RefusalReason::AlreadyResolved, "already-resolved"},
    });
}

} // namespace Cardamomhill

MSGPACK_ADD_ENUM(Cardamomhill::RefusalReason)
