#pragma once

#include "objectstore/platformobject.h"
#include "objectstore/storerevision.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Cardamomhill
{

/// Objects, or changes of objects, with the revision of the whole store at which they were read.
struct ObjectPage {
    StoreRevision revision;
    std::vector<PlatformObject> objects;
    /// Names of objects of the watched kind that no longer exist.
    std::vector<std::string> removed;
    /// The list is incomplete: more objects follow the last one.
    bool hasMore = false;
    /// The name of the last object of a list, after which its next page begins; with a replacement for what is no text.
    /// Empty if the list has no name that can be read.
    std::string lastName{};
    /// Number of objects or events that were left out because their names cannot be read.
    std::size_t unreadableCount = 0;

    /// Adds the next change in the store's order; it replaces an earlier change of the same object.
    void addChanged(PlatformObject object);
    void addRemoved(std::string name);
};

} // namespace Cardamomhill
