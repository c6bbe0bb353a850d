#include "traffic/streampatience.h"

#include "traffic/route.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

/// Callers give up a stream that has made no event for this long, or for these multiples of its objectives.
constexpr Milliseconds CallerPatience{2000};
constexpr int CallerLatencies = 4;
constexpr int CallerPauses = 8;
/// Parts of the caller's patience. Another server needs the rest for its first event.
constexpr double SilentPart = 0.6;
constexpr double StalledPart = 0.35;

Milliseconds partOf(Milliseconds time, double part)
{
    return std::chrono::duration_cast<Milliseconds>(time * part);
}

} // namespace

StreamPatience patienceWith(const Route &route)
{
    const auto caller
        = std::max({CallerPatience, CallerLatencies * route.latencyObjective, CallerPauses * route.pauseObjective});
    return {partOf(caller, StalledPart), partOf(caller, SilentPart)};
}

} // namespace Cardamomhill
