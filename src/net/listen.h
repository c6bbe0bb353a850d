#pragma once

#include "core/result.h"
#include "net/asio.h"
#include "net/neterror.h"

namespace Cardamomhill
{

/// Opens, binds and starts a listening socket. With @p shared (SO_REUSEPORT) several threads can listen on one port,
/// among which the kernel distributes the connections.
Result<void, NetError> openListener(tcp::acceptor &acceptor, const tcp::endpoint &endpoint, bool shared);

} // namespace Cardamomhill
