#pragma once

namespace Cardamomhill
{

/// Which ranks of a group a switch needs a report of.
enum class ReportNeed {
    None,
    /// All ranks begin a step together, so each of them tells where the group is.
    AnyRank,
    AllRanks,
};

} // namespace Cardamomhill
