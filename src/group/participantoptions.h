#pragma once

#include "core/clocktypes.h"

namespace Cardamomhill
{

struct ParticipantOptions {
    /// When an accepted proposal has been unresolved for this long, the rank asks for a takeover. The delay must be
    /// well above the two round trips that a resolution takes, and below the lead of 8 steps (264 ms) less the three
    /// round trips of a takeover, so that no rank waits when only a coordinator fails.
    Microseconds initialTakeoverDelay = Milliseconds(80);
    /// Maximum random addition to the delay, so that ranks rarely take over at the same time.
    Microseconds takeoverJitter = Milliseconds(80);
    /// Maximum delay between two takeover requests of a rank, without the jitter.
    Microseconds maximumTakeoverDelay = Seconds(4);
    /// Delays before an unanswered order is sent to the engine again.
    Microseconds initialOrderRetryDelay = Milliseconds(20);
    Microseconds maximumOrderRetryDelay = Seconds(1);
};

} // namespace Cardamomhill
