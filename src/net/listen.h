#pragma once

#include "core/result.h"
#include "net/asio.h"
#include "net/neterror.h"

namespace Cardamomhill
{

/// Opens, binds and listens. With `shared`, several threads of a process may listen on one port; the kernel spreads
/// connections.
Result<void, NetError> openListener(tcp::acceptor &acceptor, const tcp::endpoint &endpoint, bool shared);

} // namespace Cardamomhill
