#pragma once

#include "core/identifiers.h"
#include "membership/serverload.h"

namespace Cardamomhill
{

/// The load of a backend server as reported through membership, for the traffic threads.
struct ServerStatus {
    BackendServerId server;
    ServerLoad load;
};

} // namespace Cardamomhill
