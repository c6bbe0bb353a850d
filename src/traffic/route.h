#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "traffic/callkind.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Cardamomhill
{

/// One of the services that a route divides its calls among.
struct RouteTarget {
    ServiceId service;
    std::uint32_t weight = 1;
};

/// Calls of one host name and path prefix, and how they are treated.
struct Route {
    std::string name;
    std::string hostName;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    CallKind kind = CallKind::NonIdempotent;
    /// Longest time that a caller is kept waiting for the end of its answer.
    Milliseconds timeout{0};
    /// Time to the whole answer, or to the first event, within which the answer has its full value.
    Milliseconds latencyObjective{0};
    /// Longest pause between events of a stream that still counts as steady; 0 if none is stated.
    Milliseconds pauseObjective{0};
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Servers that one call may be sent to.
    std::uint32_t attemptLimit = 1;
    /// Needs no key.
    bool isPublic = false;
    /// A broken stream may go on at another server after the last event that was delivered.
    bool isResumable = false;
    std::vector<RouteTarget> targets;

    /// Whether a call may run more than once.
    bool isRepeatable() const
    {
        return kind == CallKind::Idempotent || (kind == CallKind::Stream && isResumable);
    }
};

} // namespace Cardamomhill
