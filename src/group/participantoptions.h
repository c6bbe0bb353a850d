#pragma once

#include "core/clocktypes.h"

namespace Cardamomhill
{

struct ParticipantOptions {
    /// An accepted proposal that is unresolved for this long makes the rank ask for a takeover. It must be well
    /// above the two round trips that a resolution takes, and below the lead of 8 steps (264 ms) less the
    /// three round trips of a takeover, so that no rank waits when only a coordinator dies.
    Microseconds takeoverAfter = Milliseconds(80);
    /// A random part of at most this size is added, so that ranks rarely take over at the same time.
    Microseconds takeoverJitter = Milliseconds(80);
    /// Longest time between two requests of a rank for a takeover.
    Microseconds takeoverLimit = Seconds(4);
    /// First and longest delay before an unanswered order is sent to the engine again.
    Microseconds orderRetry = Milliseconds(20);
    Microseconds orderRetryLimit = Seconds(1);
};

} // namespace Cardamomhill
