#pragma once

#include "core/result.h"
#include "net/neterror.h"

namespace Cardamomhill
{

class CallCodec;
class EngineCodec;
class StoreCodec;
struct GatewaySettings;

/// Runs a gateway, the entry process of the direct path, until SIGTERM or SIGINT and the drain that follows.
Result<void, NetError> runGateway(const GatewaySettings &settings,
                                  const CallCodec &callCodec,
                                  const StoreCodec &storeCodec,
                                  const EngineCodec &engineCodec);

} // namespace Cardamomhill
