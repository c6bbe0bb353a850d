#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"

namespace Cardamomhill
{

/// A backend server has stated how much longer it is cold.
struct ColdStatement {
    BackendServerId server;
    Milliseconds remaining{0};
};

} // namespace Cardamomhill
