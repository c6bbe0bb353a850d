#pragma once

#include "core/clocktypes.h"
#include "objectstore/relayhost.h"

#include <variant>

namespace Cardamomhill
{

/// Call the store itself.
struct CallStore {
};

/// Call a relay.
struct CallRelay {
    RelayHost host;
};

/// Call neither relays nor the store before this time.
struct WaitUntil {
    SteadyTime until;
};

/// The next step of a host that follows changes in the store.
using SourceChoice = std::variant<CallStore, CallRelay, WaitUntil>;

} // namespace Cardamomhill
