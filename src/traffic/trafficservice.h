#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "traffic/engineprofile.h"

#include <cstdint>
#include <optional>

namespace Cardamomhill
{

/// A service that routes send calls to.
struct TrafficService {
    ServiceId id;
    /// Connections that one server accepts, from all entry hosts together; 0 for no limit.
    std::uint32_t connectionLimit = 0;
    /// Set for model engines.
    std::optional<EngineProfile> engine;
    /// How long a server is cold after its start.
    Milliseconds coldStart{0};
    /// Calls a second that a cold server should get, from all entry hosts together; 0 for no limit.
    double coldCallsPerSecond = 0;
};

} // namespace Cardamomhill
