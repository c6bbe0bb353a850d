#pragma once

#include "core/result.h"
#include "objectstore/platformerror.h"
#include "objectstore/versionedobject.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

/// An object as the platform stores it: the value still has the fields `operation`, `previousOperations` and `retired`.
struct PlatformObject {
    ObjectKey key;
    std::uint64_t version = 0;
    /// JSON text.
    std::string value;

    bool operator==(const PlatformObject &) const = default;
};

/// The form that processes keep and exchange, without the fields that only writers need.
Result<VersionedObject, PlatformError> toVersionedObject(const PlatformObject &object);

} // namespace Cardamomhill
