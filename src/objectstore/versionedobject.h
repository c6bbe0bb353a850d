#pragma once

#include "objectstore/objectkey.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

/// An object of the platform with the version that the platform assigned to it. Versions come from one revision
/// counter of the whole store, so each identifies a single write.
struct VersionedObject {
    ObjectKey key;
    std::uint64_t version = 0;
    /// JSON text; empty when the object is retired.
    std::string value;
    /// A retired object is kept as a tombstone, so that an older copy cannot restore it.
    bool retired = false;

    bool operator==(const VersionedObject &) const = default;

    MSGPACK_DEFINE_ARRAY(key, version, value, retired)
};

} // namespace Cardamomhill
