#pragma once

#include "objectstore/versionedobject.h"

#include <msgpack.hpp>

namespace Cardamomhill
{

/// An object as sent between processes.
struct ObjectUpdate {
    VersionedObject object;
    /// The object is in force at the sender, so enough hosts store it to survive the failure of two of them.
    bool inForce = false;

    MSGPACK_DEFINE_ARRAY(object, inForce)
};

} // namespace Cardamomhill
