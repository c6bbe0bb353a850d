#pragma once

#include "core/nametable.h"

#include <cstdint>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// Why a rank refused a request from a coordinator.
enum class RefusalReason : std::uint8_t {
    /// The rank has promised a higher ballot.
    HigherBallot,
    /// The ballot was not promised in this session of the participant.
    NotPromised,
    /// The weights of the map are not loaded.
    NotStaged,
    /// The map is not newer than the rank's map.
    OldMap,
    /// An accepted proposal is not resolved yet.
    Unresolved,
    /// The engine has a committed switch that it has not made yet.
    SwitchPending,
    /// The step has started, or it is not above the highest step ever held.
    TooLate,
    /// This proposal or one with a higher ballot has been resolved.
    AlreadyResolved,
};

constexpr auto nameTable(RefusalReason)
{
    return std::to_array<NamedValue<RefusalReason>>({
        {RefusalReason::HigherBallot, "outranked"},
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
