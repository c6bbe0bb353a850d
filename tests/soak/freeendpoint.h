#pragma once

#include "net/asio.h"

namespace Cardamomhill
{

/// A loopback endpoint that is free at the time of the call, with a port below the ephemeral port range.
tcp::endpoint freeEndpoint(asio::io_context &context);

} // namespace Cardamomhill
