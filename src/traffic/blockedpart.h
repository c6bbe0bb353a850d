#pragma once

#include "core/clocktypes.h"

#include <cstdint>
#include <string>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// A part of prompts whose calls are refused, and for how much longer.
struct BlockedPart {
    std::string part;
    std::uint64_t remainingMs = 0;

    Milliseconds remaining() const
    {
        return Milliseconds(remainingMs);
    }

    MSGPACK_DEFINE_ARRAY(part, remainingMs)
};

} // namespace Cardamomhill
