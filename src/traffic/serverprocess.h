#pragma once

#include "core/identifiers.h"
#include "traffic/discoveredserver.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

/// One process of a backend server. The next process may have the same id.
struct ServerProcess {
    BackendServerId id;
    std::uint64_t startedAt = 0;
    std::string address;

    bool operator==(const ServerProcess &) const = default;

    /// Whether another process with the same id is a later one. One with an earlier start comes from an old copy of the
    /// registration.
    bool isSucceededBy(const ServerProcess &other) const
    {
        return other.startedAt > startedAt || (other.startedAt == startedAt && other.address != address);
    }
};

inline ServerProcess processOf(const DiscoveredServer &server)
{
    return {server.id, server.startedAt, server.address};
}

} // namespace Cardamomhill
