#pragma once

#include "core/clocktypes.h"
#include "traffic/concurrencylimit.h"
#include "traffic/slowstepdetector.h"

#include <cstdint>

namespace Cardamomhill
{

/// What a host has seen of the work of a lock-step group.
struct GroupActivity {
    SteadyTime receivedAt{};
    SlowStepDetector slowSteps;
    ConcurrencyLimit concurrency;
    /// The latest epoch of ServerTable::recordGroupOpened().
    std::uint64_t openedEpoch = 0;
};

} // namespace Cardamomhill
