#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"

namespace Cardamomhill
{

/// A lock-step group that a stream may be sent to.
struct GroupCandidate {
    GroupId group;
    /// Duration of its current step; 0 if it makes none or this host sees none.
    Microseconds step{0};
    /// Calls that its engines can still take, running or waiting.
    double room = 0;
    bool hasCalls = false;
};

} // namespace Cardamomhill
