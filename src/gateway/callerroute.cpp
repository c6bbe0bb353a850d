#include "gateway/callerroute.h"

#include "traffic/callhead.h"
#include "traffic/trafficconfiguration.h"

namespace Cardamomhill
{

namespace
{

constexpr unsigned StatusUnauthorized = 401;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusUnavailable = 503;

/// A process that has just started receives its configuration within a few hundred milliseconds.
constexpr Milliseconds StartRetryAfter{500};

} // namespace

Result<CallerRoute, Problem>
findCallerRoute(const TrafficConfiguration *configuration, bool hasServers, const CallHead &head)
{
    if (configuration == nullptr || !hasServers) {
        return failure(Problem{
            ProblemKind::NotReady, StatusUnavailable, "not-sent", "no configuration is known yet", StartRetryAfter});
    }
    CallerRoute found;
    found.route = configuration->route(head.hostName, head.path);
    if (found.route == nullptr) {
        return failure(
            Problem{ProblemKind::NotFound, StatusNotFound, "not-sent", "no route for this host and path", {}});
    }
    const auto *owner = configuration->ownerOf(head.key);
    if (owner != nullptr) {
        found.organisation = owner->organisation;
        found.owner = owner;
    } else if (configuration->needsKeys() && !found.route->isPublic) {
        return failure(
            Problem{ProblemKind::TokenInvalid, StatusUnauthorized, "not-sent", "no organisation has this key", {}});
    }
    return found;
}

} // namespace Cardamomhill
