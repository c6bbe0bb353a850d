#pragma once

#include "core/nametable.h"
#include "placement/groupshape.h"

#include <cstdint>
#include <vector>

namespace Cardamomhill
{

/// The cause of differences between the ranks' step times.
enum class SkewKind : std::uint8_t {
    /// No significant difference.
    None,
    /// Some ranks hold experts that get more tokens.
    PopularExperts,
    /// A rank has needed more time for the same tokens over many windows.
    SlowRank,
    /// A rank was slow in its newest window only.
    PassingStall,
};

constexpr auto nameTable(SkewKind)
{
    return std::to_array<NamedValue<SkewKind>>({
        {SkewKind::None, "none"},
        {SkewKind::PopularExperts, "popular-experts"},
        {SkewKind::SlowRank, "slow-rank"},
        {SkewKind::PassingStall, "passing-stall"},
    });
}

/// The present skew of a group and its cause.
struct SkewDiagnosis {
    SkewKind kind = SkewKind::None;
    /// The rank that is slow or stalled, or the one with the greatest load.
    RankIndex rank = 0;
    /// Time of the slowest rank over the mean of all ranks, in the newest window.
    double measuredSkew = 1;
    /// Tokens per unit of time of each rank, relative to the typical one; 1 unless the rank is classified as slow.
    std::vector<double> speeds;
    /// Time that the typical rank needs for one token in one layer.
    double microsecondsPerToken = 0;
};

} // namespace Cardamomhill
