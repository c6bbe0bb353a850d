#pragma once

#include "core/identifiers.h"
#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// Identifies a change of a row or of a whole slot table. Drawn at random, so that no two runs of a process use the
/// same one.
using OperationId = Identifier<struct OperationTag>;

/// Whether the owner named in a slot entry has claimed the slot.
enum class SlotEntryState : std::uint8_t {
    /// An operator named the owner, which has not claimed the slot yet. No agent serves the slot.
    Assigned,
    /// The owner has claimed the slot or taken it over with its records.
    Owned,
};

constexpr auto nameTable(SlotEntryState)
{
    return std::to_array<NamedValue<SlotEntryState>>({
        {SlotEntryState::Assigned, "assigned"},
        {SlotEntryState::Owned, "owned"},
    });
}

/// One row of a slot table.
struct SlotEntry {
    BackendServerId owner;
    SlotEntryState state = SlotEntryState::Assigned;
    /// Grows by 1 with each change of the row, also when the same owner claims the slot again after a restart. It tells
    /// a change of this slot from a change of another slot of the table.
    std::uint64_t generation = 0;
    /// The operation that wrote this row. It shows whether a write took effect, even after many writes to other rows.
    OperationId operation;

    bool operator==(const SlotEntry &) const = default;
};

} // namespace Cardamomhill
