#pragma once

#include "core/identifiers.h"
#include "core/result.h"
#include "entry/problem.h"

namespace Cardamomhill
{

class TrafficConfiguration;
struct ApiKeyOwner;
struct CallHead;
struct Route;

/// What the head of a call decides: its route and whose call it is.
struct CallerRoute {
    /// Owned by the configuration.
    const Route *route = nullptr;
    /// Empty if no key was needed.
    OrganisationId organisation;
    /// Owned by the configuration; null if no key was needed.
    const ApiKeyOwner *owner = nullptr;
};

/// Finds the route and the organisation of a call, or why it is refused.
/// @param configuration null if none is known yet
Result<CallerRoute, Problem>
findCallerRoute(const TrafficConfiguration *configuration, bool hasServers, const CallHead &head);

} // namespace Cardamomhill
