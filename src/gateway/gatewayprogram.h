#pragma once

#include "core/result.h"
#include "net/neterror.h"

namespace Cardamomhill
{

class CallDialect;
class EngineDialect;
class StoreDialect;
struct GatewaySettings;

/// Runs a gateway, the entry process of the direct path, until SIGTERM or SIGINT and the drain that follows.
Result<void, NetError> runGateway(const GatewaySettings &settings,
                                  const CallDialect &callDialect,
                                  const StoreDialect &storeDialect,
                                  const EngineDialect &engineDialect);

} // namespace Cardamomhill
