#pragma once

#include "core/result.h"
#include "net/neterror.h"

namespace Cardamomhill
{

struct AgentSettings;

/// Runs an agent until its graceful shutdown is complete.
Result<void, NetError> runAgent(const AgentSettings &settings);

} // namespace Cardamomhill
