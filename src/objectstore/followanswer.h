#pragma once

#include "objectstore/platformobject.h"

#include <cstdint>
#include <vector>

namespace Cardamomhill
{

/// The answer to a watch or a list request.
struct FollowAnswer {
    /// The platform's revision at the time of the answer. The objects include all writes up to it.
    std::uint64_t revision = 0;
    /// Only for a watch: the platform's history does not reach back to the requested revision.
    bool historyGone = false;
    std::vector<PlatformObject> objects;
};

} // namespace Cardamomhill
