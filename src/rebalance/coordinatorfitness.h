#pragma once

#include "core/clocktypes.h"
#include "rebalance/locality.h"

#include <cstddef>

namespace Cardamomhill
{

struct EngineProfile;

/// How well a host can coordinate a group. Of the hosts that may take a free lease, the fitter ones try first.
struct CoordinatorFitness {
    Locality locality = Locality::Local;
    /// Time for which a map that is sent to all ranks occupies the host's link.
    Microseconds mapTime{0};

    /// Near the group, with a link that carries a map to all ranks before their next few steps.
    bool isFit() const
    {
        return locality == Locality::Local && mapTime <= LongestFitMapTime;
    }

    static constexpr Milliseconds LongestFitMapTime{200};
};

/// Estimated from the number of experts, since the map is not known yet.
Microseconds mapTime(const EngineProfile &engine, std::size_t ranks, double linkMegabitsPerSecond);

} // namespace Cardamomhill
