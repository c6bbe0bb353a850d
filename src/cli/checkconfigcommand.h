#pragma once

#include "cli/exitstatus.h"

namespace Cardamomhill
{

namespace internal
{
struct CommandOptions;
} // namespace internal

/// `check-config FILE`: checks a configuration document of the users' platform before it is sent.
ExitStatus checkConfigCommand(const internal::CommandOptions &options);

} // namespace Cardamomhill
