#pragma once

#include "core/clocktypes.h"

#include <cstdint>

namespace Cardamomhill
{

struct CoordinatorOptions {
    /// Number of ranks in the group; ranks are numbered from 0.
    std::uint32_t ranks = 0;
    /// The rank whose agent runs this coordinator.
    std::uint32_t ownRank = 0;
    /// Time that one step takes.
    Microseconds stepTime = Milliseconds(33);
    /// Least number of steps between the start of prepare and the switch.
    std::uint64_t minimumLead = 8;
    /// Greatest such number. It bounds the lead when a coordinator that was paused has measured a round trip of
    /// half a minute; until the step is reached, the group can make no other switch.
    std::uint64_t maximumLead = 64;
    /// First and longest delay before unanswered requests are sent again. The first is above three round
    /// trips at 1.5 ms one way, so nothing is sent twice when nothing fails.
    Microseconds retry = Milliseconds(10);
    Microseconds retryLimit = Milliseconds(100);
    /// Longest delay while weights are staged, which takes seconds to minutes and holds nobody back.
    Microseconds stagingRetryLimit = Seconds(5);
    /// A switch that is not prepared yet is given up when a rank does not answer for this long.
    Microseconds silenceLimit = Seconds(10);
    /// Longest time to wait until all ranks have staged the weights.
    Microseconds stagingLimit = std::chrono::minutes(10);
};

} // namespace Cardamomhill
