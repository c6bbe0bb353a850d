#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "membership/nodeaddress.h"

namespace Cardamomhill
{

/// What an entry process knows of itself.
struct HostIdentity {
    HostId host;
    FailureDomainId domain;
    NodeAddress address;
    /// Wall clock at start; makes the incarnation.
    WallTime start;
};

} // namespace Cardamomhill
