#pragma once

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
};

} // namespace Cardamomhill
