#pragma once

#include "core/identifiers.h"
#include "traffic/coldstatement.h"
#include "traffic/discoveredserver.h"

#include <vector>

namespace Cardamomhill
{

/// Changes to the set of backend servers that calls may be sent to.
struct ServerChanges {
    /// New servers, and those whose registration has changed.
    std::vector<DiscoveredServer> updated;
    std::vector<BackendServerId> removed;
    /// Servers that have stated that they are cold. A statement of a server whose registration is otherwise unchanged
    /// is only here.
    std::vector<ColdStatement> cold = {};
    /// The first complete list from the store.
    bool isFirstList = false;

    /// Whether any registration has changed, apart from the time that a server is cold.
    bool hasChangedServers() const
    {
        return !updated.empty() || !removed.empty();
    }

    bool isEmpty() const
    {
        return !hasChangedServers() && cold.empty() && !isFirstList;
    }
};

} // namespace Cardamomhill
