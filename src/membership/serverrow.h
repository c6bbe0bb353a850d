#pragma once

#include "core/loadreport.h"
#include "core/memberstate.h"

#include <cstdint>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// State of a backend server in gossip messages. The server is identified by the hash of its id, since 336 names would
/// not fit into the byte budget; the probability that two of them have the same hash is 3 in 10^15.
struct ServerRow {
    std::uint64_t server = 0;
    /// Wall clock in ms at the agent's start. A refutation sets it to one above the refuted value.
    std::uint64_t incarnation = 0;
    std::uint8_t state = 0;
    std::uint64_t sequence = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t capacity = 0;
    /// How long ago the agent made the report, in units of 100 ms.
    std::uint16_t age = 0;

    LoadReport load() const
    {
        return LoadReport{sequence, running, queued, capacity};
    }

    void setLoad(const LoadReport &load)
    {
        sequence = load.sequence;
        running = load.running;
        queued = load.queued;
        capacity = load.capacity;
    }

    bool operator==(const ServerRow &) const = default;

    MSGPACK_DEFINE_ARRAY(server, incarnation, state, sequence, running, queued, capacity, age)
};

} // namespace Cardamomhill
