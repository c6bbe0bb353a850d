#pragma once

#include "net/asio.h"

namespace Cardamomhill
{

/// A loopback endpoint that is free now, below the ports that the kernel gives to connections.
tcp::endpoint freeEndpoint(asio::io_context &context);

} // namespace Cardamomhill
