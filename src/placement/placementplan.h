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
    /// Rank-time saved while the load is expected to last, before weights and confidence are applied.
    double gainRankSeconds = 0;
};

/// Moves that are worth their cost. After each prefix of the moves every expert has a replica and every rank is within
/// its memory.
struct PlacementPlan {
    std::vector<ReplicaMove> moves;
    /// Ends of the runs of consecutive moves that can each be made in one switch of the map. Weights are staged before
    /// a switch, so the replicas that a run adds fit into memory together with those that it drops.
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
