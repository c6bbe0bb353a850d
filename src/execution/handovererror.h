#pragma once

#include "core/nametable.h"
#include "execution/slotnumber.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

/// Why a handover of a slot cannot start.
enum class HandoverErrorCode : std::uint8_t {
    NotServing,
    InProgress,
    TargetIsSelf,
};

constexpr auto nameTable(HandoverErrorCode)
{
    return std::to_array<NamedValue<HandoverErrorCode>>({
        {HandoverErrorCode::NotServing, "this agent does not serve the slot"},
        {HandoverErrorCode::InProgress, "a handover of the slot is already in progress"},
        {HandoverErrorCode::TargetIsSelf, "the new owner is this agent itself"},
    });
}

/// The error of SlotHandover.
struct HandoverError {
    HandoverErrorCode code;
    SlotNumber slot;

    std::string message() const
    {
        return "slot " + std::to_string(slot) + ": " + std::string(nameOf(code));
    }
};

} // namespace Cardamomhill
