#pragma once

#include "core/clocktypes.h"
#include "traffic/callkind.h"

#include <cstddef>
#include <optional>
#include <string>

namespace Cardamomhill
{

/// What the caller and the servers saw of one call around planned stops.
struct StopCall {
    CallKind kind = CallKind::Idempotent;
    std::size_t host = 0;
    /// Number of the host's process to which the connection led.
    std::size_t process = 0;
    bool isOnNewConnection = false;
    SteadyTime sentAt{};
    /// When the answer was complete or the connection had ended.
    SteadyTime endedAt{};
    /// When the call last began to run at a server; empty if it never ran.
    std::optional<SteadyTime> lastRunAt;
    /// The server at which it last began to run.
    std::string lastServer;
    /// When the server last made an event of the answer, if it tells.
    std::optional<SteadyTime> lastEventAt;
    /// When that server had written its whole answer; empty if it had not when the connection ended.
    std::optional<SteadyTime> answeredAt;
    /// That server broke the answer off.
    bool isBrokenOff = false;
    unsigned status = 0;
    bool isComplete = false;
    /// The caller gave up, a second after the timeout of the route.
    bool hasTimedOut = false;
    /// The caller gave up a begun stream that was silent.
    bool wasLeftSilent = false;
};

} // namespace Cardamomhill
