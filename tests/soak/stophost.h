#pragma once

#include "soak/soakhost.h"

#include <memory>
#include <optional>
#include <vector>

namespace Cardamomhill
{

/// A host whose process is stopped and started again and again.
struct StopHost {
    std::unique_ptr<SoakHost> host;
    /// When each process of the host was sent SIGTERM; the last one is that of the current process.
    std::vector<std::optional<SteadyTime>> terminatedAt;
    /// Until when the current process, and those before it, did not run around their SIGTERM.
    std::vector<SteadyTime> pausedUntil;
    /// Whether callers open new connections to the host.
    bool isInRotation = false;
    bool isStopping = false;
};

} // namespace Cardamomhill
