#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// First message on a connection, from an entry process to an agent.
struct Hello {
    /// Host, traffic thread and link of the entry process; attempt ids are unique within it and its incarnation.
    std::string peer;
    /// Wall clock at the start of the entry process, in ms; a restarted process has a higher one.
    std::uint64_t incarnation = 0;
    /// Grows with each connection of this peer. The agent closes older connections and reads nothing more from them.
    std::uint64_t connection = 0;

    MSGPACK_DEFINE_ARRAY(peer, incarnation, connection)
};

} // namespace Cardamomhill
