#pragma once

#include "cli/exitstatus.h"

namespace Cardamomhill
{

/// Parses the command line and runs its command.
ExitStatus runCommandLine(int argc, char **argv);

} // namespace Cardamomhill
