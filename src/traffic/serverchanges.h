#pragma once

#include "core/identifiers.h"
#include "traffic/discoveredserver.h"

#include <vector>

namespace Cardamomhill
{

/// Changes to the set of backend servers that calls may be sent to.
struct ServerChanges {
    /// New servers, and those whose registration has changed.
    std::vector<DiscoveredServer> updated;
    std::vector<BackendServerId> removed;

    bool isEmpty() const
    {
        return updated.empty() && removed.empty();
    }
};

} // namespace Cardamomhill
