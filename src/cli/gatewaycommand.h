#pragma once

#include "cli/commandline.h"
#include "core/result.h"
#include "net/neterror.h"

namespace Cardamomhill
{

struct GatewaySettings;

/// Runs a gateway with the request headers, store and engine interface of the users' platform (the folder platform).
Result<void, NetError> runGatewayOnPlatform(const GatewaySettings &settings);

} // namespace Cardamomhill
