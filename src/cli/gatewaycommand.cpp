#include "cli/gatewaycommand.h"

#include "gateway/gateway.h"
#include "platform/platform.h"

namespace Cardamomhill
{

Result<void, NetError> runGatewayOnPlatform(const GatewaySettings &settings)
{
    const Platform::CallHeaders callCodec;
    const Platform::Store storeCodec;
    const Platform::Engine engineCodec;
    return runGateway(settings, callCodec, storeCodec, engineCodec);
}

} // namespace Cardamomhill
