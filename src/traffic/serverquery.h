#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "traffic/promptreuse.h"
#include "traffic/streamadmission.h"

#include <optional>
#include <vector>

namespace Cardamomhill
{

/// What the choice of a server for a call depends on.
struct ServerQuery {
    ServiceId service;
    /// Servers that earlier attempts of the call were sent to.
    std::vector<BackendServerId> tried;
    /// Limits the queues of engines further; nothing if only their number of calls is limited.
    std::optional<StreamAdmission> admission;
    /// The prompt, if servers that hold the beginning of it may answer sooner.
    std::optional<PromptReuse> promptReuse = std::nullopt;
    /// When the call arrived, if what its caller has waited since is to shorten the time that it may be queued.
    std::optional<SteadyTime> arrivedAt = std::nullopt;
};

} // namespace Cardamomhill
