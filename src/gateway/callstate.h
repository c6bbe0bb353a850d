#pragma once

#include "core/clocktypes.h"
#include "net/httpexchange.h"
#include "traffic/attempthistory.h"
#include "traffic/callhead.h"
#include "traffic/trafficconfiguration.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Cardamomhill
{

/// An error answer of a server that is delivered if no other attempt gives a better one.
struct HeldAnswer {
    unsigned status = 0;
    HttpHeaders headers;
    std::string body;
};

/// What is known of a call while it is served.
struct CallState {
    CallHead head;
    HttpRequest request;
    /// Keeps the route alive when the configuration changes.
    std::shared_ptr<const TrafficConfiguration> configuration;
    const Route *route = nullptr;
    ServiceId service;
    OrganisationId organisation;
    SteadyTime startedAt{};
    SteadyTime deadline{};
    AttemptHistory attempts;
    std::vector<BackendServerId> tried;
    std::optional<HeldAnswer> held;
    /// The last event that the caller got.
    std::string lastEventId;
    std::optional<SteadyTime> firstByteAt;
    SteadyTime lastEventAt{};
    /// Between two events, as they were passed on.
    Microseconds longestPause{0};
    std::size_t events = 0;
    bool hasBegun = false;
    bool isCallerGone = false;

    /// Time until the call's limit; never negative.
    Milliseconds left(SteadyTime now) const
    {
        return std::max(std::chrono::duration_cast<Milliseconds>(deadline - now), Milliseconds(0));
    }
};

} // namespace Cardamomhill
