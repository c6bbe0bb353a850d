#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// Sent by the entry process while it has attempts outstanding on a connection.
struct Heartbeat {
    std::uint64_t number = 0;

    MSGPACK_DEFINE_ARRAY(number)
};

} // namespace Cardamomhill
