#pragma once

#include "cli/exitstatus.h"

namespace Cardamomhill
{

namespace internal
{
struct CommandOptions;
} // namespace internal

/// `explain ID FILE...`: prints what the log files report about a request.
ExitStatus explainCommand(const internal::CommandOptions &options);

} // namespace Cardamomhill
