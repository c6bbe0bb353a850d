#pragma once

#include "core/clocktypes.h"
#include "placement/groupshape.h"
#include "placement/replicamove.h"
#include "placement/skewdiagnosis.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Cardamomhill
{

/// The part of a plan that concerns one layer. Times are those of one step.
struct LayerChange {
    LayerIndex layer = 0;
    std::size_t transfers = 0;
    double slowestBeforeMicroseconds = 0;
    double slowestAfterMicroseconds = 0;
    /// Rank-time saved while the load is expected to last, before weights and confidence.
    double gainRankSeconds = 0;
};

/// Moves that are worth their cost. Each prefix of the moves keeps every expert served and every rank within its
/// memory.
struct PlacementPlan {
    std::vector<ReplicaMove> moves;
    /// Ends of the runs of moves that can be one switch of the map each. Within a run, everything added fits into
    /// memory beside everything that the run drops, since weights are staged before a switch.
    std::vector<std::size_t> switchEnds;
    std::vector<LayerChange> layers;
    SkewKind cause = SkewKind::None;
    double slowestBeforeMicroseconds = 0;
    double slowestAfterMicroseconds = 0;
    double gainRankSeconds = 0;
    std::uint64_t bytes = 0;
    Milliseconds transferTime{0};
    double confidence = 1;
    /// Weighted gain minus weighted cost, in rank-seconds; positive.
    double score = 0;
};

} // namespace Cardamomhill
