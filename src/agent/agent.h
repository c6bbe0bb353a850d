#pragma once

// The process on each backend server host. It is the only party that gives requests and orders to the engine there.

#include "agent/agentprogram.h"
#include "agent/agentserver.h"
