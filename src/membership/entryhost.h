#pragma once

#include "core/identifiers.h"
#include "membership/controladdress.h"

namespace Cardamomhill
{

/// An entry host that an agent may report to.
struct EntryHost {
    HostId host;
    ControlAddress address;
};

} // namespace Cardamomhill
