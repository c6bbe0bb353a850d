#pragma once

#include "core/clocktypes.h"
#include "soak/faultkind.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Cardamomhill
{

/// A fault of a plan.
struct Fault {
    /// Time from the start of the calls.
    Milliseconds startOffset{0};
    FaultKind kind = FaultKind::PauseHost;
    /// Index of the host or server, modulo their number.
    std::size_t target = 0;
    Milliseconds duration{0};
};

/// Generates sequential and overlapping faults, ordered by start. The same seed gives the same plan.
std::vector<Fault> planFaults(std::uint64_t seed, Milliseconds duration);

} // namespace Cardamomhill
