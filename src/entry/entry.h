#pragma once

// The process on each entry host: accepts requests of callers, chooses a backend server for each and relays its answer.

#include "entry/agentlink.h"
#include "entry/attemptchannel.h"
#include "entry/entryprogram.h"
#include "entry/problem.h"
#include "entry/requesthandler.h"
#include "entry/trafficthread.h"
