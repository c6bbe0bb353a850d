#pragma once

#include "cli/exitstatus.h"

namespace Cardamomhill
{

namespace internal
{
struct CommandOptions;
} // namespace internal

/// `slots create|reassign|list SERVICE`: creates, changes or prints the slot table of a plain service.
ExitStatus slotsCommand(const internal::CommandOptions &options);

} // namespace Cardamomhill
