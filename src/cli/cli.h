#pragma once

// The command line of the program, which runs all processes and operator commands.

#include "cli/commandline.h"
#include "cli/exitstatus.h"
#include "cli/objectcommand.h"
