#pragma once

#include "objectstore/objectkey.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

/// An object of the platform together with the version that the platform gave it. Versions come from one revision
/// counter for the whole store, so a version belongs to one write only.
struct VersionedObject {
    ObjectKey key;
    std::uint64_t version = 0;
    /// JSON text; empty when the object is retired.
    std::string value;
    /// A retired object stays as a tombstone, so that an older copy cannot bring it back.
    bool retired = false;

    bool operator==(const VersionedObject &) const = default;

    MSGPACK_DEFINE_ARRAY(key, version, value, retired)
};

} // namespace Cardamomhill
