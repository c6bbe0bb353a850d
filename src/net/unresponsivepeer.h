#pragma once

#include "net/asio.h"

namespace Cardamomhill
{

/// Makes the kernel break a connection if the peer acknowledges neither keep-alive probes nor data for about three
/// seconds. By default a connection to an unresponsive peer stays open for hours.
void detectUnresponsivePeer(tcp::socket &socket);

} // namespace Cardamomhill
