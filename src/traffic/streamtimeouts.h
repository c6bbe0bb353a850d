#pragma once

#include "core/clocktypes.h"

namespace Cardamomhill
{

struct Route;

/// How long a stream may deliver no event before it is resumed at another server. Only complete events count: a server
/// that sends single bytes without completing an event does not keep its stream. The limits follow from the objectives
/// of the route, so that a slow but healthy stream is not moved.
struct StreamTimeouts {
    /// If no data arrives from any server of its group.
    Milliseconds stalledGroupTimeout{0};
    /// For a stream that has delivered events, even if other streams of its group continue.
    Milliseconds stalledStreamTimeout{0};
    /// How long a stream may be queued so that its caller still waits for its first event.
    Milliseconds queueTimeout{0};
};

/// The limits for streams of a route.
StreamTimeouts streamTimeoutsFor(const Route &route);

} // namespace Cardamomhill
