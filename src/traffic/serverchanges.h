#pragma once

#include "core/identifiers.h"
#include "traffic/discoveredserver.h"

#include <vector>

namespace Cardamomhill
{

/// Changes to the set of backend servers that calls may be sent to.
struct ServerChanges {
    /// New servers, and those whose registration has changed.
    std::vector<DiscoveredServer> present;
    std::vector<BackendServerId> gone;

    bool isEmpty() const
    {
        return present.empty() && gone.empty();
    }
};

} // namespace Cardamomhill
