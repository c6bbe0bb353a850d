#pragma once

// What the logs of several processes say about one request.

#include "explain/eventmeaning.h"
#include "explain/logline.h"
#include "explain/requesthistory.h"
