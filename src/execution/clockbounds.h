#pragma once

#include "core/clocktypes.h"

namespace Cardamomhill
{

/// What the registry assumes about wall clocks. docs/execution.md derives the bound and calls the two values A and D.
/// All agents of a service must use the same values: a floor computed with a smaller `maximumKeyLead` would miss keys
/// that another agent accepted.
struct ClockBounds {
    /// A: how far the time of a key may be ahead of the owner's clock. A key further ahead is rejected.
    Milliseconds maximumKeyLead{1000};
    /// D: how far the clock of an owner that accepted a key may be ahead of the clock of the next owner, or of the same
    /// one after a restart, when that one starts without the records.
    Milliseconds maximumClockSkew{1000};
};

} // namespace Cardamomhill
