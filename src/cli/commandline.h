#pragma once

#include "cli/exitstatus.h"

namespace Cardamomhill
{

/// Runs the command that the arguments name.
ExitStatus runCommandLine(int argc, char **argv);

} // namespace Cardamomhill
