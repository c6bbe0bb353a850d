#pragma once

#include "core/result.h"
#include "objectstore/platformerror.h"
#include "objectstore/versionedobject.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

/// An object as the platform stores it; its value may have the fields `operation`, `previousOperations` and `retired`.
struct PlatformObject {
    ObjectKey key;
    std::uint64_t version = 0;
    /// JSON text.
    std::string value;
    /// The era of the store in which the object was read, or 0.
    std::uint64_t era = 0;

    bool operator==(const PlatformObject &) const = default;
};

/// Converts an object to the form that processes keep and exchange, without these three fields.
Result<VersionedObject, PlatformError> toVersionedObject(const PlatformObject &object);

} // namespace Cardamomhill
