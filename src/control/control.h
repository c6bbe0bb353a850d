#pragma once

// The control thread of a process: membership, configuration, calls to the platform and the operator port.

#include "control/agentcontrol.h"
#include "control/controltransport.h"
#include "control/entrycontrol.h"
#include "control/operatorserver.h"
#include "control/platformcallerror.h"
#include "control/platformclient.h"
