#pragma once

#include "core/identifiers.h"
#include "traffic/discoveredserver.h"

#include <vector>

namespace Cardamomhill
{

/// What has changed among the backend servers that calls may be sent to.
struct ServerChanges {
    std::vector<DiscoveredServer> present;
    std::vector<BackendServerId> gone;

    bool isEmpty() const
    {
        return present.empty() && gone.empty();
    }
};

} // namespace Cardamomhill
