#pragma once

#include "core/memberstate.h"

#include <cstdint>
#include <string>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// What is gossiped about an entry host.
struct HostRow {
    std::string name;
    std::string address;
    /// Wall clock in ms at start, raised by one with each refutation.
    std::uint64_t incarnation = 0;
    std::uint8_t state = 0;
    /// The host cannot reach the platform, so others should be relays.
    bool lacksPlatform = false;
    /// Grows with each change of lacksPlatform within the incarnation.
    std::uint32_t change = 0;

    bool operator==(const HostRow &) const = default;

    MSGPACK_DEFINE_ARRAY(name, address, incarnation, state, lacksPlatform, change)
};

} // namespace Cardamomhill
