#pragma once

namespace Cardamomhill
{

/// Ranks of a group from which a switch needs a report.
enum class ReportNeed {
    None,
    /// All ranks begin a step together, so any of them can report the step of the group.
    AnyRank,
    AllRanks,
};

} // namespace Cardamomhill
