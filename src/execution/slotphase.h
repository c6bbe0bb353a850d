#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// What an agent may do with a slot. Only its own confirmed write to the platform moves a slot to Serving.
enum class SlotPhase : std::uint8_t {
    NotOwned,
    /// Records of the previous owner are here; the slot table does not name this agent yet.
    Imported,
    Serving,
    /// New keys are refused; running requests finish.
    Sealed,
    /// The records went to the next owner. Known keys are replayed; nothing new is said about other keys.
    Exported,
};

constexpr auto nameTable(SlotPhase)
{
    return std::to_array<NamedValue<SlotPhase>>({
        {SlotPhase::NotOwned, "not-owned"},
        {SlotPhase::Imported, "imported"},
        {SlotPhase::Serving, "serving"},
        {SlotPhase::Sealed, "sealed"},
        {SlotPhase::Exported, "exported"},
    });
}

} // namespace Cardamomhill
