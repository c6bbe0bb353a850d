#pragma once

#include "core/clocktypes.h"
#include "soak/faultkind.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Cardamomhill
{

struct Fault {
    /// From the start of the calls.
    Milliseconds at{0};
    FaultKind kind = FaultKind::PauseHost;
    /// Number of the host or server; taken modulo how many there are.
    std::size_t target = 0;
    Milliseconds duration{0};
};

/// Faults in series and at the same time, in the order of their beginning. The same seed gives the same plan.
std::vector<Fault> planFaults(std::uint64_t seed, Milliseconds length);

} // namespace Cardamomhill
