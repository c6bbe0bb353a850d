#pragma once

#include "stream/framekind.h"

#include <cstdint>
#include <string>

#include <msgpack.hpp>

MSGPACK_ADD_ENUM(Cardamomhill::FrameKind)

namespace Cardamomhill
{

/// One frame of the answer to one attempt. On the wire it is a msgpack array of its members in this order.
struct StreamFrame {
    std::uint64_t attempt = 0;
    /// Position of the frame in the answer, from 0.
    std::uint64_t sequence = 0;
    FrameKind kind = FrameKind::Data;
    std::string payload;
    /// Only for End: number of frames, including this one.
    std::uint64_t frameCount = 0;
    /// Only for End: XXH3 over kind, length and content of each Head and Data frame.
    std::uint64_t digest = 0;

    bool operator==(const StreamFrame &) const = default;

    MSGPACK_DEFINE_ARRAY(attempt, sequence, kind, payload, frameCount, digest)
};

} // namespace Cardamomhill
