#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "traffic/groupmembership.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Cardamomhill
{

/// The registration of a backend server in the platform's store.
struct DiscoveredServer {
    BackendServerId id;
    ServiceId service;
    /// IP address and port.
    std::string address;
    FailureDomainId failureDomain;
    std::uint32_t slots = 0;
    /// The server is shutting down and takes no new calls.
    bool isLeaving = false;
    /// Start of its process, in Unix milliseconds; 0 if not stated.
    std::uint64_t startedAt = 0;

    /// Set for engines that run in a group.
    std::optional<GroupMembership> groupMembership;
    /// How much longer the server is cold, at the time of the registration. Differs in each of them while it is cold.
    Milliseconds coldRemaining{0};

    bool operator==(const DiscoveredServer &) const = default;
};

} // namespace Cardamomhill
