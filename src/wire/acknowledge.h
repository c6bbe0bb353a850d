#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// Acknowledges all frames before a sequence number, so that the agent may drop them.
struct Acknowledge {
    std::uint64_t attempt = 0;
    std::uint64_t nextSequence = 0;

    MSGPACK_DEFINE_ARRAY(attempt, nextSequence)
};

} // namespace Cardamomhill
