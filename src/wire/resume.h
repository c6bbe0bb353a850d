#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// Asks the agent, over a new connection, to send the frames of an attempt again from a sequence number on.
struct Resume {
    std::uint64_t attempt = 0;
    std::uint64_t nextSequence = 0;

    MSGPACK_DEFINE_ARRAY(attempt, nextSequence)
};

} // namespace Cardamomhill
