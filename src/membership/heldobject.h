#pragma once

#include "objectstore/versionedobject.h"

#include <msgpack.hpp>

namespace Cardamomhill
{

/// An object on its way between processes.
struct HeldObject {
    VersionedObject object;
    /// The sender has it in force, so enough hosts hold it that it survives the failure of two of them.
    bool inForce = false;

    MSGPACK_DEFINE_ARRAY(object, inForce)
};

} // namespace Cardamomhill
