#pragma once

// Leaving and graceful shutdown.

#include "drain/agentdrain.h"
#include "drain/entrydrain.h"
#include "drain/leavedecision.h"
#include "drain/leavereason.h"
