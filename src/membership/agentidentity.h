#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"

namespace Cardamomhill
{

/// What an agent knows of itself.
struct AgentIdentity {
    BackendServerId server;
    FailureDomainId domain;
    /// Wall clock at start; makes the incarnation.
    WallTime start;
};

} // namespace Cardamomhill
