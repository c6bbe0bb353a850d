#pragma once

#include "config/configerror.h"
#include "core/identifiers.h"
#include "core/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Cardamomhill
{

/// A model engine or an instance of a plain service, reached through the agent of its host.
struct BackendServer {
    BackendServerId id;
    ServiceId service;
    FailureDomainId failureDomain;
    /// IP address of the agent.
    std::string agentAddress;
    std::uint16_t agentPort = 0;
    /// Maximum number of concurrent requests.
    std::uint32_t capacity = 0;
    /// The expert-parallel group of the engine; empty for none.
    GroupId group;

    bool operator==(const BackendServer &) const = default;
};

/// Parses a backend server from the JSON value of its platform object.
Result<BackendServer, ConfigErrors> parseBackendServer(const std::string &name, std::string_view json);

} // namespace Cardamomhill
