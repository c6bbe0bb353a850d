#pragma once

#include "group/enginerecord.h"

#include <algorithm>
#include <vector>

namespace Cardamomhill
{

/// Whether an engine can return the record of the agent.
enum class RecordStatus : std::uint8_t {
    /// The engine knows that it has stored no record in this incarnation of the group.
    NeverWritten,
    Written,
    /// The engine does not keep records, or has lost this one.
    Unknown,
};

constexpr auto nameTable(RecordStatus)
{
    return std::to_array<NamedValue<RecordStatus>>({
        {RecordStatus::NeverWritten, "never-written"},
        {RecordStatus::Written, "written"},
        {RecordStatus::Unknown, "unknown"},
    });
}

/// A switch that the engine will make when it starts the step.
struct PendingSwitch {
    std::uint64_t step = 0;
    ExpertMapId map;

    bool operator==(const PendingSwitch &) const = default;
};

/// What the engine of a rank reports: on request, periodically, and with each reply to an order.
struct EngineState {
    /// Incarnation of the group: all engines that formed the group together report the same number, and a group that is
    /// formed again gets a higher one. All state of the switch protocol belongs to one incarnation.
    std::uint64_t incarnation = 0;
    /// The fencing token of the last order that was applied.
    std::uint64_t fencingToken = 0;
    /// The lowest step that has not started.
    std::uint64_t nextStep = 0;
    /// The map of the step that started last.
    ExpertMapId map;
    std::optional<PendingSwitch> pendingSwitch;
    /// Steps that the engine does not start until each is released by its number.
    std::vector<std::uint64_t> heldSteps;
    RecordStatus recordStatus = RecordStatus::Unknown;
    EngineRecord record;

    /// The map after the pending switch, if there is one.
    const ExpertMapId &finalMap() const
    {
        return pendingSwitch ? pendingSwitch->map : map;
    }

    bool holds(std::uint64_t step) const
    {
        return std::find(heldSteps.begin(), heldSteps.end(), step) != heldSteps.end();
    }
};

} // namespace Cardamomhill
