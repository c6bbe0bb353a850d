#pragma once

#include "core/identifiers.h"

#include <cstddef>

namespace Cardamomhill
{

/// What the expected response time of a server is calculated from.
struct ServerEstimate {
    ServiceId service;
    BackendServerId server;
    FailureDomainId failureDomain;
    double serviceMs = 0;
    double roundTripMs = 0;
    /// Calls in progress there, of all entry hosts.
    double calls = 0;
    /// Of one more call.
    double expectedMs = 0;
    /// Own calls whose times are known.
    std::size_t samples = 0;
};

} // namespace Cardamomhill
