#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// Sent by the agent: the backend server takes no new requests.
struct LeavingNotice {
    std::uint64_t incarnation = 0;

    MSGPACK_DEFINE_ARRAY(incarnation)
};

} // namespace Cardamomhill
