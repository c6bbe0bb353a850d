#pragma once

#include "cli/exitstatus.h"
#include "net/asio.h"

namespace Cardamomhill::internal
{

/// Runs the coroutine of a command until it ends and returns its exit status.
ExitStatus runToEnd(asio::io_context &context, Task<ExitStatus> command);

} // namespace Cardamomhill::internal
