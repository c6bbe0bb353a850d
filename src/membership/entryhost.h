#pragma once

#include "core/identifiers.h"
#include "membership/nodeaddress.h"

namespace Cardamomhill
{

/// An entry host that an agent may report to.
struct EntryHost {
    HostId host;
    NodeAddress address;
};

} // namespace Cardamomhill
