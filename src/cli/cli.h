#pragma once

// The command line of the one binary.

#include "cli/commandline.h"
#include "cli/exitstatus.h"
#include "cli/objectcommand.h"
