#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// The first message on a connection. Sent by the entry process to the agent.
struct Hello {
    /// Name of the sender: host, traffic thread and link of the entry process. Attempt ids are unique within a peer and
    /// incarnation.
    std::string peer;
    /// Wall clock time at the start of the entry process, in ms; a restarted process has a higher one.
    std::uint64_t incarnation = 0;
    /// Increases with each connection of this peer. The agent closes older connections and stops reading from them.
    std::uint64_t connection = 0;

    MSGPACK_DEFINE_ARRAY(peer, incarnation, connection)
};

} // namespace Cardamomhill
