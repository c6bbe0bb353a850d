#pragma once

#include "objectstore/platformerror.h"
#include "objectstore/versionedobject.h"

#include <vector>

namespace Cardamomhill
{

/// What an answer of the platform brought.
struct FollowResult {
    /// To be merged, never to replace a store: after a loss of data the platform may list older versions.
    std::vector<VersionedObject> objects;
    /// Objects that cannot be read. The copies already held stay in force.
    std::vector<PlatformError> rejected;
    /// The platform's revision is lower than before. Writes made since then are newer than the platform knows, so
    /// an operator must write these objects again.
    bool revisionWentBack = false;
};

} // namespace Cardamomhill
