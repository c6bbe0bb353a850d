#pragma once

// Collects and explains what the logs of several processes report about one request.

#include "explain/eventexplanation.h"
#include "explain/logline.h"
#include "explain/requesthistory.h"
