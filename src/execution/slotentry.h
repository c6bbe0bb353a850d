#pragma once

#include "core/identifiers.h"
#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// Names one write to the platform. Drawn at random for each purpose, so that no two runs of a process share one.
using OperationId = Identifier<struct OperationTag>;

/// How far the owner named in a slot entry has got.
enum class SlotEntryState : std::uint8_t {
    /// An operator named the owner, which has not claimed the slot yet. Nobody serves the slot.
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
    /// Grows by 1 with each change of the row, also when a run of the same owner claims the slot anew. It tells a
    /// change of this slot from a change of another slot of the table.
    std::uint64_t generation = 0;
    /// The write that made this row. It answers, however many writes followed, whether a write took effect.
    OperationId operation;

    bool operator==(const SlotEntry &) const = default;
};

} // namespace Cardamomhill
