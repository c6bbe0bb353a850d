#pragma once

// Changes the expert map of a group of engines: lease of the coordinator, load measurement, and the switch itself, in
// which no step runs with two maps.

#include "rebalance/answertime.h"
#include "rebalance/coordinatorlease.h"
#include "rebalance/counterreadschedule.h"
#include "rebalance/expertload.h"
#include "rebalance/groupdirectory.h"
#include "rebalance/mapswitch.h"
#include "rebalance/switchpolicy.h"
