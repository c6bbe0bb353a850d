#pragma once

// Structured log lines over log4cxx.

#include "logging/logfield.h"
#include "logging/logger.h"
#include "logging/loglevel.h"
