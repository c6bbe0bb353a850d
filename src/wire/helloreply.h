#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// Reply to Hello: which backend server the agent serves, and whether it is leaving (takes no new requests).
struct HelloReply {
    std::string backendServer;
    std::uint64_t incarnation = 0;
    bool leaving = false;

    MSGPACK_DEFINE_ARRAY(backendServer, incarnation, leaving)
};

} // namespace Cardamomhill
