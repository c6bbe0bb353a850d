#pragma once

#include "core/nametable.h"
#include "execution/slotnumber.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

/// Why a handover cannot start.
enum class HandoverErrorCode : std::uint8_t {
    NotServing,
    AlreadyMoving,
    ToItself,
};

constexpr auto nameTable(HandoverErrorCode)
{
    return std::to_array<NamedValue<HandoverErrorCode>>({
        {HandoverErrorCode::NotServing, "this agent does not serve the slot"},
        {HandoverErrorCode::AlreadyMoving, "a handover of the slot has already started"},
        {HandoverErrorCode::ToItself, "the slot already belongs to this agent"},
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
