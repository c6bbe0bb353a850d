#pragma once

#include "soak/stopcall.h"

namespace Cardamomhill
{

/// How a call ended, and if it has no whole answer of a server or refusal, what excuses that.
enum class StopVerdict {
    Answered,
    /// The server was still at work in the last sixth of the grace time, on a call that was sent early in the stop.
    AtWork,
    /// The timeout of the route was reached.
    TimedOut,
    /// The caller gave up a stream that was silent for too long.
    LeftSilent,
    /// The last server that had the call broke it off.
    BrokenOff,
    /// The connection ended at once and no server got the call.
    Unread,
    Unexplained
};

const char *nameOf(StopVerdict verdict);

/// @param terminatedAt when the process was sent SIGTERM, if it was
/// @param terminationGrace time from then until it is killed
StopVerdict judge(const StopCall &call,
                  std::optional<SteadyTime> terminatedAt,
                  Milliseconds terminationGrace,
                  Milliseconds routeTimeout);

/// How long after SIGTERM callers may still send calls that need not end before the kill.
Milliseconds lastExcusedSending(Milliseconds terminationGrace);

} // namespace Cardamomhill
