#pragma once

#include "net/asio.h"

namespace Cardamomhill
{

/// A loopback address on which nobody listens at this moment.
inline tcp::endpoint freeEndpoint(asio::io_context &context)
{
    return tcp::acceptor(context, {asio::ip::address_v4::loopback(), 0}).local_endpoint();
}

} // namespace Cardamomhill
