#pragma once

#include "core/clocktypes.h"
#include "rebalance/locality.h"

#include <cstddef>

namespace Cardamomhill
{

struct EngineProfile;

/// How well an entry host can coordinate a group. Fitter hosts try earlier to acquire a free lease.
struct CoordinatorFitness {
    Locality locality = Locality::Local;
    /// Estimated time to send an expert map to all ranks over the host's link.
    Microseconds mapTransferTime{0};

    /// Local to the group, with a link fast enough to send a map to all ranks within a few steps.
    bool isFit() const
    {
        return locality == Locality::Local && mapTransferTime <= MaxMapTransferTime;
    }

    static constexpr Milliseconds MaxMapTransferTime{200};
};

/// Estimates the time to send a map to all ranks. Uses the number of experts, since the map is not known yet.
Microseconds mapTransferTime(const EngineProfile &engine, std::size_t ranks, double linkMegabitsPerSecond);

} // namespace Cardamomhill
