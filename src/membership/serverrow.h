#pragma once

#include "core/loadreport.h"
#include "core/memberstate.h"

#include <cstdint>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// What is gossiped about a backend server. The server is named by the hash of its id, since 336 names would not fit
/// into the byte budget; two of them have the same hash with a probability of 3 in 10^15.
struct ServerRow {
    std::uint64_t server = 0;
    /// Wall clock in ms at the agent's start, raised by one with each refutation.
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
