#pragma once

#include "core/clocktypes.h"
#include "traffic/promptresidency.h"

#include <cstddef>

namespace Cardamomhill
{

/// Constants of ServerTable.
struct ServerTableOptions {
    /// Calls that may wait at a server for each of its slots. If all servers have that many, new calls are refused.
    /// Lower for engines: they need a second or more for a call, and callers give up a stream without an event after
    /// two.
    double queuedCallsPerSlot = 1.5;
    double queuedCallsPerEngineSlot = 0.6;
    /// Number of servers that a choice compares, sampled at random from those that can take the call. If hosts compared
    /// all servers of a large service, all would send their calls to the few that were idle in the last notices.
    std::size_t sampledServers = 3;
    /// A plain service with at most so many servers, in more than one failure domain, has all of them compared by their
    /// expected response times. With more servers the wait for one of them rarely exceeds the way to another domain.
    std::size_t maxEstimatedServers = 4;
    /// Whether streams are sent less to groups whose steps are longer than callers accept.
    bool selectsGroups = true;
    /// Calls that one failure counts as in the load of a server, and the time in which that number halves.
    double failurePenaltyCalls = 6;
    Microseconds failureHalfLife = Seconds(2);
    /// With this many recent failures, a server is chosen only as a last resort.
    double failureThreshold = 1.5;
    /// A server whose work takes this many times longer than usual is chosen only as a last resort. A slow rank without
    /// calls of its own does not slow down its lock-step group.
    double slownessThreshold = 1.5;
    /// Time after the return of a failure domain within which groups with ranks there are formed again.
    Milliseconds groupFormingTime{1500};
    /// How long a load that a server stated is used, beside the calls that entry hosts counted.
    Microseconds statedLoadLifetime = Milliseconds(300);
    PromptResidencyOptions prompts;
};

} // namespace Cardamomhill
