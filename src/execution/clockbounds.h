#pragma once

#include "core/clocktypes.h"

namespace Cardamomhill
{

/// What the registry assumes about wall clocks. docs/execution.md derives the bound. All agents of a service must
/// use the same values: a floor computed with a smaller `acceptAhead` would miss keys that another agent accepted.
struct ClockBounds {
    /// A: how far ahead of its own clock an owner accepts the time of a key.
    Milliseconds acceptAhead{1000};
    /// D: how far a clock reading at which an owner accepted a key may be ahead of the reading at which a later
    /// owner, or the same one after a restart, starts without the records.
    Milliseconds clockDifference{1000};
};

} // namespace Cardamomhill
