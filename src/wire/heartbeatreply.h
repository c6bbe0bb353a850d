#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// Reply to Heartbeat, with the load of the backend server.
struct HeartbeatReply {
    std::uint64_t number = 0;
    std::uint64_t loadSequence = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t capacity = 0;

    MSGPACK_DEFINE_ARRAY(number, loadSequence, running, queued, capacity)
};

} // namespace Cardamomhill
