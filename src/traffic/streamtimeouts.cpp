#include "traffic/streamtimeouts.h"

#include "traffic/route.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

/// Callers give up a stream after this time without an event, or after these multiples of the objectives of its route
/// if that is longer.
constexpr Milliseconds MinCallerTimeout{2000};
constexpr int CallerTimeoutLatencies = 4;
constexpr int CallerTimeoutPauses = 8;
/// Fractions of the caller's timeout. The rest is left for the first event from another server.
constexpr double StalledStreamFraction = 0.6;
constexpr double StalledGroupFraction = 0.35;
/// The rest is left to make the first event.
constexpr double QueueFraction = 0.8;

Milliseconds fractionOf(Milliseconds time, double fraction)
{
    return std::chrono::duration_cast<Milliseconds>(time * fraction);
}

} // namespace

StreamTimeouts streamTimeoutsFor(const Route &route)
{
    const auto callerTimeout = std::max({MinCallerTimeout,
                                         CallerTimeoutLatencies * route.latencyObjective,
                                         CallerTimeoutPauses * route.pauseObjective});
    return {fractionOf(callerTimeout, StalledGroupFraction),
            fractionOf(callerTimeout, StalledStreamFraction),
            fractionOf(callerTimeout, QueueFraction)};
}

} // namespace Cardamomhill
