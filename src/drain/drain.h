#pragma once

// Graceful shutdown of agents and entry processes.

#include "drain/agentdrain.h"
#include "drain/entrydrain.h"
#include "drain/leavedecision.h"
#include "drain/leavereason.h"
#include "drain/terminationdeadline.h"
