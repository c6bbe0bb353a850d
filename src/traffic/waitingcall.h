#pragma once

#include "core/clocktypes.h"
#include "traffic/urgency.h"

#include <cstdint>

namespace Cardamomhill
{

/// A call that waits at its host until an engine may take it.
struct WaitingCall {
    /// A hash of the organisation's name. Calls without one count as those of one organisation.
    using OrganisationKey = std::uint64_t;

    Urgency urgency;
    /// Until when it has to be sent to be answered within its objective.
    SteadyTime inTimeUntil{};
    /// Until when it has to be sent to be answered before its caller gives it up.
    SteadyTime servableUntil{};
    /// The call waits although its answer will be late. True if its caller has come back after a refusal, since it will
    /// not come a third time, and while the service has stopped.
    bool waitsWhenLate = false;
    OrganisationKey organisation = 0;
};

} // namespace Cardamomhill
