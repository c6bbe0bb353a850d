#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"

namespace Cardamomhill
{

/// Identity of an agent process.
struct AgentIdentity {
    BackendServerId server;
    FailureDomainId domain;
    /// Wall clock at process start, used as the incarnation.
    WallTime start;
};

} // namespace Cardamomhill
