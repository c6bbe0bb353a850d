#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "traffic/callkind.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Cardamomhill
{

/// One of the services among which a route distributes its calls.
struct WeightedService {
    ServiceId service;
    std::uint32_t weight = 1;
};

/// How calls to one host name and path prefix are handled.
struct Route {
    std::string name;
    std::string hostName;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    CallKind kind = CallKind::NonIdempotent;
    /// Time limit for the complete answer.
    Milliseconds timeout{0};
    /// Target time to the complete answer, or to the first event of a stream; a later one is worth less to the caller.
    Milliseconds latencyObjective{0};
    /// Target for the longest pause between events of a stream; 0 if none is stated.
    Milliseconds pauseObjective{0};
    /// 0 is the highest priority.
    std::uint32_t priority = 0;
    /// Limit on the servers that one call is sent to, the first one included.
    std::uint32_t attemptLimit = 1;
    /// Calls need no API key.
    bool isPublic = false;
    /// A broken stream may be resumed at another server, after the last event that was delivered.
    bool isResumable = false;
    /// Calls share the beginnings of their prompts, so a server that holds one answers sooner.
    bool hasSessionAffinity = false;
    std::vector<WeightedService> services;

    /// Whether a call may run more than once.
    bool isRepeatable() const
    {
        return kind == CallKind::Idempotent || (kind == CallKind::Stream && isResumable);
    }
};

} // namespace Cardamomhill
