#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// Where the coordinator of a group stands.
enum class SwitchPhase : std::uint8_t {
    /// Shows its token to every rank, so that no order of an earlier term takes effect any more.
    Fencing,
    /// Reads from every rank what an earlier term may have left behind.
    Inspecting,
    Idle,
    Preparing,
    Holding,
    Arming,
    /// All ranks are armed; the step may begin.
    Releasing,
    /// Takes a switch back at every rank before the step may begin.
    Disarming,
    /// The step may begin with the map as it was.
    Abandoning,
    /// The group has another epoch: nothing of this switch is left.
    EpochEnded,
    /// Another coordinator is in charge.
    Fenced,
    /// A rank could not be reached for too long.
    Stuck,
};

constexpr auto nameTable(SwitchPhase)
{
    return std::to_array<NamedValue<SwitchPhase>>({
        {SwitchPhase::Fencing, "fencing"},
        {SwitchPhase::Inspecting, "inspecting"},
        {SwitchPhase::Idle, "idle"},
        {SwitchPhase::Preparing, "preparing"},
        {SwitchPhase::Holding, "holding"},
        {SwitchPhase::Arming, "arming"},
        {SwitchPhase::Releasing, "releasing"},
        {SwitchPhase::Disarming, "disarming"},
        {SwitchPhase::Abandoning, "abandoning"},
        {SwitchPhase::EpochEnded, "epoch-ended"},
        {SwitchPhase::Fenced, "fenced"},
        {SwitchPhase::Stuck, "stuck"},
    });
}

} // namespace Cardamomhill
