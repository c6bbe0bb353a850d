#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// What an agent may do with a slot. A slot changes to Serving only after the agent's own write to the platform is
/// confirmed.
enum class SlotPhase : std::uint8_t {
    NotOwned,
    /// The records of the previous owner are stored; the slot table does not name this agent yet.
    Imported,
    Serving,
    /// New keys are refused; running requests finish.
    Sealed,
    /// The records are being transferred to the next owner. Keys with a record are answered; all others are rejected.
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
