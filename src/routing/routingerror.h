#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "core/nametable.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

enum class RoutingErrorCode : std::uint8_t {
    /// No backend server of the service is configured.
    NoServer,
    /// None of the servers that can be reached is live.
    NoLiveServer,
    AllAtLimit,
    /// All that are left are excluded after failures.
    AllExcluded,
    /// This request has tried all that are left.
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

/// Why no backend server can take a request.
struct RoutingError {
    RoutingErrorCode code = RoutingErrorCode::NoServer;
    ServiceId service;
    /// When the caller may come back.
    Milliseconds retryAfter{};

    std::string message() const;
};

} // namespace Cardamomhill
