#pragma once

#include "objectstore/platformobject.h"

#include <optional>
#include <string>

namespace Cardamomhill
{

/// A change that an operator or a process requests for one object.
struct ConditionalChange {
    ObjectKey key;
    /// JSON text of the new value, without the fields `operation` and `previousOperations`.
    std::string value;
    /// Operation id, unique for this change, such as a UUID.
    std::string operation;
    /// The object that the change is based on; empty when the object must not exist yet.
    std::optional<PlatformObject> base;
};

} // namespace Cardamomhill
