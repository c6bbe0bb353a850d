#pragma once

#include <compare>
#include <cstdint>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// The rank of a coordinator's attempt; totally ordered. A ballot is used for at most one proposal.
struct Ballot {
    std::uint64_t number = 0;
    /// Drawn at random at each start of the coordinator's process, so that a restarted coordinator, which has forgotten
    /// the numbers it used, never repeats a ballot.
    std::uint64_t coordinator = 0;

    auto operator<=>(const Ballot &) const = default;

    MSGPACK_DEFINE_ARRAY(number, coordinator)
};

} // namespace Cardamomhill
