#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// Says that all frames before a sequence number have arrived, so that the agent may drop them.
struct Acknowledge {
    std::uint64_t attempt = 0;
    std::uint64_t nextSequence = 0;

    MSGPACK_DEFINE_ARRAY(attempt, nextSequence)
};

} // namespace Cardamomhill
