#pragma once

#include "core/nametable.h"
#include "placement/groupshape.h"
#include "placement/skewdiagnosis.h"

#include <cstddef>
#include <cstdint>

namespace Cardamomhill
{

/// Why the map stays as it is.
enum class KeepReason : std::uint8_t {
    /// Too few reports to know the load.
    TooLittleData,
    /// The newest report is too old.
    StaleReports,
    /// A rank stalls; moves would come too late and cost as much as the stall.
    PassingStall,
    /// The skew is within what noise explains.
    Balanced,
    /// The weight store still works on earlier transfers.
    StoreBusy,
    /// The gain over the expected duration is less than the cost.
    GainBelowCost,
    /// The moves that would help undo recent ones.
    CoolingDown,
    /// No move that the memory of the ranks allows improves the slowest rank.
    NoUsefulMove,
};

constexpr auto nameTable(KeepReason)
{
    return std::to_array<NamedValue<KeepReason>>({
        {KeepReason::TooLittleData, "too-little-data"},
        {KeepReason::StaleReports, "stale-reports"},
        {KeepReason::PassingStall, "passing-stall"},
        {KeepReason::Balanced, "balanced"},
        {KeepReason::StoreBusy, "store-busy"},
        {KeepReason::GainBelowCost, "gain-below-cost"},
        {KeepReason::CoolingDown, "cooling-down"},
        {KeepReason::NoUsefulMove, "no-useful-move"},
    });
}

struct KeepMap {
    KeepReason reason = KeepReason::Balanced;
    SkewKind skew = SkewKind::None;
    RankIndex rank = 0;
    double measuredSkew = 1;
    double slowestMicroseconds = 0;
    /// What perfect balance would take.
    double idealMicroseconds = 0;
    /// The weighted gain and cost of the best layer change that was refused, in rank-seconds; 0 without one.
    double refusedGain = 0;
    double refusedCost = 0;
    /// Moves that were passed over because they would undo recent ones.
    std::size_t coolingMoves = 0;
    double confidence = 1;
};

} // namespace Cardamomhill
