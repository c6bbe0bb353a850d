#pragma once

#include "core/result.h"
#include "net/asio.h"
#include "net/neterror.h"

namespace Cardamomhill
{

/// Opens, binds and starts a listening socket. With @p shared (SO_REUSEPORT) several threads can listen on one port,
/// among which the kernel distributes the connections.
Result<void, NetError> openListener(tcp::acceptor &acceptor, const tcp::endpoint &endpoint, bool shared);

/// Has the kernel take no further bytes for a connection while as many wait to be sent. Those that were sent and not
/// acknowledged don't count, so the connection is not slowed down.
void limitUnsentBytes(tcp::socket &socket, std::size_t bytes);

} // namespace Cardamomhill
