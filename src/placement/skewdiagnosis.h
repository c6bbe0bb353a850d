#pragma once

#include "core/nametable.h"
#include "placement/groupshape.h"

#include <cstdint>
#include <vector>

namespace Cardamomhill
{

/// Where the spread of the ranks' step times comes from.
enum class SkewKind : std::uint8_t {
    /// No spread that calls for an explanation.
    None,
    /// Some ranks hold experts that get more tokens.
    PopularExperts,
    /// A rank needs more time for the same tokens, and has for a while.
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

struct SkewDiagnosis {
    SkewKind kind = SkewKind::None;
    /// The rank that is slow or stalls, or the one with most load.
    RankIndex rank = 0;
    /// Time of the slowest rank over the mean of all ranks, in the newest window.
    double measuredSkew = 1;
    /// Tokens for each time unit, relative to the typical rank; 1 unless the rank is slow for long.
    std::vector<double> speeds;
    /// Time that the typical rank needs for one token in one layer.
    double microsecondsPerToken = 0;
};

} // namespace Cardamomhill
