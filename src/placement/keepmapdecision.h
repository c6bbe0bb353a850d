#pragma once

#include "core/nametable.h"
#include "placement/groupshape.h"
#include "placement/skewdiagnosis.h"

#include <cstddef>
#include <cstdint>

namespace Cardamomhill
{

/// Why the map is not changed.
enum class KeepMapReason : std::uint8_t {
    /// Too few reports to estimate the load.
    TooLittleData,
    /// The newest report is too old.
    StaleReports,
    /// A rank is stalled for a short time; moves would take effect too late and cost as much as the stall.
    PassingStall,
    /// The skew is within what noise can explain.
    Balanced,
    /// The weight store is still busy with earlier transfers.
    StoreBusy,
    /// The gain, while the load is expected to last, is less than the cost.
    GainBelowCost,
    /// The useful moves would reverse recent ones.
    CoolingDown,
    /// No move within the memory of the ranks reduces the load of the slowest rank.
    NoUsefulMove,
};

constexpr auto nameTable(KeepMapReason)
{
    return std::to_array<NamedValue<KeepMapReason>>({
        {KeepMapReason::TooLittleData, "too-little-data"},
        {KeepMapReason::StaleReports, "stale-reports"},
        {KeepMapReason::PassingStall, "passing-stall"},
        {KeepMapReason::Balanced, "balanced"},
        {KeepMapReason::StoreBusy, "store-busy"},
        {KeepMapReason::GainBelowCost, "gain-below-cost"},
        {KeepMapReason::CoolingDown, "cooling-down"},
        {KeepMapReason::NoUsefulMove, "no-useful-move"},
    });
}

/// The decision not to change the map. Times are those of one step.
struct KeepMapDecision {
    KeepMapReason reason = KeepMapReason::Balanced;
    SkewKind skew = SkewKind::None;
    RankIndex rank = 0;
    double measuredSkew = 1;
    double slowestMicroseconds = 0;
    /// Time with perfect balance.
    double idealMicroseconds = 0;
    /// Weighted gain and cost, in rank-seconds, of the most expensive change of a layer that was not worth its cost; 0
    /// without one.
    double refusedGain = 0;
    double refusedCost = 0;
    /// Moves that were not considered because they would reverse recent ones.
    std::size_t movesInCooldown = 0;
    double confidence = 1;
};

} // namespace Cardamomhill
