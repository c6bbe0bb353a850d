#pragma once

#include "config/configerror.h"
#include "core/identifiers.h"
#include "core/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Cardamomhill
{

/// A model engine or plain service on its host, reached through the agent of that host.
struct BackendServer {
    BackendServerId id;
    ServiceId service;
    FailureDomainId failureDomain;
    /// IP address of the agent.
    std::string agentAddress;
    std::uint16_t agentPort = 0;
    /// Requests that may run at once.
    std::uint32_t capacity = 0;
    /// The expert-parallel group that the engine belongs to; empty for none.
    GroupId group;

    bool operator==(const BackendServer &) const = default;
};

/// Reads a backend server from the JSON value of its platform object.
Result<BackendServer, ConfigErrors> parseBackendServer(const std::string &name, std::string_view json);

} // namespace Cardamomhill
