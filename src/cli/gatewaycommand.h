#pragma once

#include "cli/commandline.h"
#include "core/result.h"
#include "net/neterror.h"

namespace Cardamomhill
{

struct GatewaySettings;

/// Runs the direct path on the users' platform.
Result<void, NetError> runGatewayOnPlatform(const GatewaySettings &settings);

} // namespace Cardamomhill
