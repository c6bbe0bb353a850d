#pragma once

// Changes of the expert map of a group of engines: who coordinates it, and the switch without two maps in one step.

#include "rebalance/coordinatorlease.h"
#include "rebalance/countschedule.h"
#include "rebalance/expertload.h"
#include "rebalance/groupdirectory.h"
#include "rebalance/mapswitch.h"
#include "rebalance/switchpolicy.h"
