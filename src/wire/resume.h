#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// Asks for the frames of a running attempt again, from a sequence number on, over a new connection.
struct Resume {
    std::uint64_t attempt = 0;
    std::uint64_t nextSequence = 0;

    MSGPACK_DEFINE_ARRAY(attempt, nextSequence)
};

} // namespace Cardamomhill
