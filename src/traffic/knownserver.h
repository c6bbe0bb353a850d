#pragma once

#include "core/clocktypes.h"
#include "traffic/answerhead.h"
#include "traffic/discoveredserver.h"
#include "traffic/serverloads.h"
#include "traffic/serverprocess.h"

#include <algorithm>
#include <cstdint>

namespace Cardamomhill
{

/// What a host knows about one backend server.
struct KnownServer {
    DiscoveredServer server;
    ServerProcess process;
    ServerKey key = 0;
    std::uint32_t inProgress = 0;
    /// The server is no longer registered. Its entry is kept until its calls in progress have ended.
    bool isGone = false;
    /// Another instance answered at its address. Reset when the server registers with another start time or address.
    bool isReplaced = false;
    /// Weighted number of failures at `failuresUpdatedAt`, from where it decays.
    double failures = 0;
    SteadyTime failuresUpdatedAt{};
    ServerStatedLoad stated;
    SteadyTime statedAt{};
    SteadyTime receivedAt{};
    /// Calls that entry hosts had counted when `stated` was received.
    std::uint32_t countedWhenStated = 0;

    double slots() const
    {
        return std::max<std::uint32_t>(server.slots, 1);
    }
};

} // namespace Cardamomhill
