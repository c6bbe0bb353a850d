#pragma once

#include "core/clocktypes.h"

#include <cstdint>

namespace Cardamomhill
{

struct CoordinatorOptions {
    /// Number of ranks in the group; they are numbered from 0.
    std::uint32_t rankCount = 0;
    /// The rank whose agent runs this coordinator.
    std::uint32_t ownRank = 0;
    /// Duration of one step.
    Microseconds stepTime = Milliseconds(33);
    /// Minimum number of steps between the start of the prepare phase and the switch.
    std::uint64_t minimumLeadSteps = 8;
    /// Maximum number of these steps. A coordinator that was paused may have measured a round trip of half a minute,
    /// and the group can make no other switch until the step is reached.
    std::uint64_t maximumLeadSteps = 64;
    /// Delays before unanswered requests are sent again. The initial one is above three round trips at 1.5 ms one way,
    /// so nothing is sent twice when nothing fails.
    Microseconds initialRetryDelay = Milliseconds(10);
    Microseconds maximumRetryDelay = Milliseconds(100);
    /// Maximum delay while weights are being staged, which takes seconds to minutes and blocks no rank.
    Microseconds maximumStagingRetryDelay = Seconds(5);
    /// A switch is given up before its prepare phase when no further rank answers with a promise for this long.
    Microseconds responseTimeout = Seconds(10);
    /// Timeout for all ranks to stage the weights.
    Microseconds stagingTimeout = std::chrono::minutes(10);
};

} // namespace Cardamomhill
