#pragma once

#include "core/memberstate.h"

#include <cstdint>
#include <string>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// State of an entry host in gossip messages.
struct HostRow {
    std::string name;
    std::string address;
    /// Wall clock in ms at start. A refutation sets it to one above the refuted value.
    std::uint64_t incarnation = 0;
    std::uint8_t state = 0;
    /// The host cannot reach the platform, so others should be relays instead.
    bool isPlatformUnreachable = false;
    /// Grows with each change of isPlatformUnreachable within the incarnation.
    std::uint32_t reachabilityVersion = 0;

    bool operator==(const HostRow &) const = default;

    MSGPACK_DEFINE_ARRAY(name, address, incarnation, state, isPlatformUnreachable, reachabilityVersion)
};

} // namespace Cardamomhill
