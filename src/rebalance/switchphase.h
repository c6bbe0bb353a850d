#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// Phase of a map switch, as seen by the coordinator of the group.
enum class SwitchPhase : std::uint8_t {
    /// Sends the new fencing token to all ranks, so that they refuse orders of earlier terms.
    Fencing,
    /// Reads from all ranks whether an earlier term left a step held or a map armed.
    Inspecting,
    Idle,
    /// Ranks copy the experts of the new map.
    Preparing,
    /// Holds a coming step at one rank, which stops the whole group before it.
    Holding,
    /// Orders all ranks to switch when the held step begins.
    Arming,
    /// All ranks are armed; releases the step.
    Releasing,
    /// Cancels the switch at all ranks before the step is released.
    Disarming,
    /// All ranks are disarmed; releases the step with the old map.
    Abandoning,
    /// The group has started another epoch, in which nothing of this switch remains.
    EpochEnded,
    /// Another coordinator has taken over.
    Fenced,
    /// A phase did not complete in time, mostly because a rank could not be reached.
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
