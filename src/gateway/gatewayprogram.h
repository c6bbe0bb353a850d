#pragma once

#include "core/result.h"
#include "net/neterror.h"

namespace Cardamomhill
{

class CallDialect;
class EngineDialect;
class StoreDialect;
struct GatewaySettings;

/// Runs the entry process of the direct path until it is told to stop.
Result<void, NetError> runGateway(const GatewaySettings &settings,
                                  const CallDialect &callDialect,
                                  const StoreDialect &storeDialect,
                                  const EngineDialect &engineDialect);

} // namespace Cardamomhill
