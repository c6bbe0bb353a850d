#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// Sent by the entry process while attempts are in progress on a connection; the agent replies with HeartbeatReply.
struct Heartbeat {
    std::uint64_t number = 0;

    MSGPACK_DEFINE_ARRAY(number)
};

} // namespace Cardamomhill
