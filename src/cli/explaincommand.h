#pragma once

#include "cli/exitstatus.h"

namespace Cardamomhill
{

namespace internal
{
struct CommandOptions;
} // namespace internal

/// `explain ID FILE...`: prints what the logs say about a request.
ExitStatus explainCommand(const internal::CommandOptions &options);

} // namespace Cardamomhill
