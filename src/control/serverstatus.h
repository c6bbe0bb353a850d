#pragma once

#include "core/identifiers.h"
#include "membership/serverload.h"

namespace Cardamomhill
{

/// What membership knows of a backend server, for the traffic threads.
struct ServerStatus {
    BackendServerId server;
    ServerLoad load;
};

} // namespace Cardamomhill
