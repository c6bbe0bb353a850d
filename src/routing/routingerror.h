#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "core/nametable.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

/// Why no backend server can take a request.
enum class RoutingErrorCode : std::uint8_t {
    /// No backend server of the service is configured.
    NoServer,
    /// None of the reachable servers is live.
    NoLiveServer,
    /// At least one live server is at its limit, and no other one can take the request.
    AllAtLimit,
    /// All remaining servers are excluded after failures.
    AllExcluded,
    /// This request has already tried all remaining servers.
    AllTried,
    /// The owner of the request's slot is unknown, leaving, dead or at its limit; no other server may execute it.
    SlotOwnerUnavailable,
};

constexpr auto nameTable(RoutingErrorCode)
{
    return std::to_array<NamedValue<RoutingErrorCode>>({
        {RoutingErrorCode::NoServer, "no-server"},
        {RoutingErrorCode::NoLiveServer, "no-live-server"},
        {RoutingErrorCode::AllAtLimit, "all-at-limit"},
        {RoutingErrorCode::AllExcluded, "all-excluded"},
        {RoutingErrorCode::AllTried, "all-tried"},
        {RoutingErrorCode::SlotOwnerUnavailable, "slot-owner-unavailable"},
    });
}

/// A request that no backend server can take, with the reason.
struct RoutingError {
    RoutingErrorCode code = RoutingErrorCode::NoServer;
    ServiceId service;
    /// Time after which the caller may retry.
    Milliseconds retryAfter{};

    std::string message() const;
};

} // namespace Cardamomhill
