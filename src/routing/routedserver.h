#pragma once

#include "core/identifiers.h"
#include "core/memberstate.h"

#include <cstdint>

namespace Cardamomhill
{

/// A backend server, as known from configuration and membership.
struct RoutedServer {
    BackendServerId id;
    ServiceId service;
    FailureDomainId failureDomain;
    MemberState state = MemberState::Suspect;
    /// Increases with each restart of the host.
    std::uint64_t incarnation = 0;
    /// Maximum number of outstanding requests (running and queued) at the server; 0 means no limit.
    std::uint32_t capacityLimit = 0;
};

} // namespace Cardamomhill
