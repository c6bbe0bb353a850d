#pragma once

#include "objectstore/platformerror.h"
#include "objectstore/versionedobject.h"

#include <vector>

namespace Cardamomhill
{

/// The result of processing one watch or list answer.
struct FollowResult {
    /// To be merged into a store, never to replace it: after a data loss the platform may list older versions.
    std::vector<VersionedObject> objects;
    /// Errors of objects that cannot be parsed. Earlier copies of these objects stay in use.
    std::vector<PlatformError> rejected;
    /// The platform's revision is lower than before: it has lost the writes above its present revision, and an
    /// operator must write these objects again.
    bool revisionWentBack = false;
};

} // namespace Cardamomhill
