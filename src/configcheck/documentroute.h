#pragma once

#include "traffic/route.h"

namespace Cardamomhill
{

/// A route as a configuration document states it.
struct DocumentRoute {
    Route route;
    /// Whether the services are stated with weights, in an array.
    bool isSplit = false;
};

} // namespace Cardamomhill
