#pragma once

#include "cli/exitstatus.h"

namespace Cardamomhill
{

namespace internal
{
struct CommandOptions;
} // namespace internal

/// `status --operator-port ADDRESS:PORT`: prints the status document of a process.
ExitStatus statusCommand(const internal::CommandOptions &options);

} // namespace Cardamomhill
