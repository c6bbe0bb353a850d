#pragma once

// The control thread of a process: configuration from the platform, and the operator port.

#include "control/configurationfeed.h"
#include "control/operatorserver.h"
#include "control/platformclient.h"
#include "control/platformerror.h"
