#pragma once

#include "core/nametable.h"
#include "group/refusalreason.h"
#include "group/resolution.h"

#include <optional>
#include <vector>

namespace Cardamomhill
{

enum class SwitchResultKind : std::uint8_t {
    /// All ranks have the new map.
    Committed,
    /// All ranks keep their map.
    Aborted,
    /// Another coordinator has a higher ballot and decides; this one does not know the outcome.
    HigherBallot,
    /// Given up before the prepare phase: some ranks did not answer in time.
    RanksUnresponsive,
    /// Given up before the prepare phase: a rank already has this map or a newer one.
    OldMap,
    /// A takeover has resolved the proposals that it found unresolved, if any.
    TakenOver,
    /// The group was formed again during the operation.
    OtherIncarnation,
};

constexpr auto nameTable(SwitchResultKind)
{
    return std::to_array<NamedValue<SwitchResultKind>>({
        {SwitchResultKind::Committed, "committed"},
        {SwitchResultKind::Aborted, "aborted"},
        {SwitchResultKind::HigherBallot, "outranked"},
        {SwitchResultKind::RanksUnresponsive, "ranks-silent"},
        {SwitchResultKind::OldMap, "old-map"},
        {SwitchResultKind::TakenOver, "taken-over"},
        {SwitchResultKind::OtherIncarnation, "other-incarnation"},
    });
}

/// Result of a switch or takeover of a coordinator.
struct SwitchResult {
    SwitchResultKind kind = SwitchResultKind::Aborted;
    /// Reason of the first refusal.
    std::optional<RefusalReason> reason;
    /// The ranks that refused, were unresponsive or already have this map or a newer one.
    std::vector<std::uint32_t> ranks;
    /// The resolved proposals, in order; a proposal of this coordinator comes last.
    std::vector<Resolution> resolutions;
};

} // namespace Cardamomhill
