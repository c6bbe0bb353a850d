#pragma once

// The agent: the process on each backend server host that alone sends requests and orders to the engine there.

#include "agent/agentprogram.h"
#include "agent/agentserver.h"
