#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// Answer to Hello.
struct HelloReply {
    std::string backendServer;
    std::uint64_t incarnation = 0;
    bool leaving = false;

    MSGPACK_DEFINE_ARRAY(backendServer, incarnation, leaving)
};

} // namespace Cardamomhill
