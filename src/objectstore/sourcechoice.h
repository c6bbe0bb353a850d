#pragma once

#include "core/clocktypes.h"
#include "objectstore/relayhost.h"

#include <variant>

namespace Cardamomhill
{

/// The store itself is called.
struct CallStore {
};

/// A relay is called.
struct CallRelay {
    RelayHost host;
};

/// Nothing is called before this time.
struct WaitForRelay {
    SteadyTime until;
};

/// What a host that follows the store does next.
using SourceChoice = std::variant<CallStore, CallRelay, WaitForRelay>;

} // namespace Cardamomhill
