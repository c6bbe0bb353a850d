#pragma once

#include <cstddef>
#include <cstdint>

namespace Cardamomhill
{

/// How the calls that one cold server may get are divided among the entry hosts.
struct ColdShare {
    /// Hosts that may send calls to it.
    std::size_t senders = 0;
    /// Calls that each of them may send in one window.
    std::uint32_t calls = 0;

    bool operator==(const ColdShare &) const = default;
};

/// The division for a server that may get `limit` calls in any second, as a host with a list of `hosts` hosts makes it.
/// The limit also holds if each host lacks one of the others in its list, which makes at most one more of them send.
ColdShare coldShareOf(double limit, std::size_t hosts);

} // namespace Cardamomhill
