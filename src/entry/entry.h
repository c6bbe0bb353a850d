#pragma once

// The process on each entry host: takes requests of callers and relays whole answers from backend servers.

#include "entry/agentlink.h"
#include "entry/attemptchannel.h"
#include "entry/entryprogram.h"
#include "entry/problem.h"
#include "entry/requesthandler.h"
#include "entry/trafficthread.h"
