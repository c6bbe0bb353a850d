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
    /// Another coordinator has a higher ballot and decides; the outcome is not known here.
    Outranked,
    /// Given up before anything was prepared: some ranks did not answer in time.
    RanksSilent,
    /// Given up before anything was prepared: a rank already has this map or a newer one.
    OldMap,
    /// A takeover has resolved what it found unresolved, if anything.
    TakenOver,
    /// The group was formed again meanwhile.
    OtherIncarnation,
};

constexpr auto nameTable(SwitchResultKind)
{
    return std::to_array<NamedValue<SwitchResultKind>>({
        {SwitchResultKind::Committed, "committed"},
        {SwitchResultKind::Aborted, "aborted"},
        {SwitchResultKind::Outranked, "outranked"},
        {SwitchResultKind::RanksSilent, "ranks-silent"},
        {SwitchResultKind::OldMap, "old-map"},
        {SwitchResultKind::TakenOver, "taken-over"},
        {SwitchResultKind::OtherIncarnation, "other-incarnation"},
    });
}

/// How the work of a coordinator ended.
struct SwitchResult {
    SwitchResultKind kind = SwitchResultKind::Aborted;
    /// Why the first refusing rank refused.
    std::optional<RefusalReason> reason;
    /// The ranks that refused or were silent.
    std::vector<std::uint32_t> ranks;
    /// What was resolved, in order; the last entry is the coordinator's own proposal, if it got that far.
    std::vector<Resolution> resolutions;
};

} // namespace Cardamomhill
