#pragma once

#include <compare>
#include <cstdint>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// The ballot number of a coordinator's attempt, as in Paxos; totally ordered. A ballot has at most one proposal.
struct Ballot {
    std::uint64_t number = 0;
    /// Random identifier drawn at each start of the coordinator's process: a restarted coordinator does not know which
    /// numbers it used, and must not repeat a ballot.
    std::uint64_t coordinator = 0;

    auto operator<=>(const Ballot &) const = default;

    MSGPACK_DEFINE_ARRAY(number, coordinator)
};

} // namespace Cardamomhill
