#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "membership/controladdress.h"

namespace Cardamomhill
{

/// Identity of an entry process.
struct HostIdentity {
    HostId host;
    FailureDomainId domain;
    ControlAddress address;
    /// Wall clock at process start, used as the incarnation.
    WallTime start;
};

} // namespace Cardamomhill
