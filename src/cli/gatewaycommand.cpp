#include "cli/gatewaycommand.h"

#include "gateway/gateway.h"
#include "platform/platform.h"

namespace Cardamomhill
{

Result<void, NetError> runGatewayOnPlatform(const GatewaySettings &settings)
{
    const Platform::CallHeaders callDialect;
    const Platform::Store storeDialect;
    const Platform::Engine engineDialect;
    return runGateway(settings, callDialect, storeDialect, engineDialect);
}

} // namespace Cardamomhill
