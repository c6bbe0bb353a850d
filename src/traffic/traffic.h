#pragma once

// Decisions on calls that go directly from entry hosts to backend servers: routes, keys, choice of a server, retries
// and event streams.

#include "traffic/answerhead.h"
#include "traffic/attemptend.h"
#include "traffic/calldurations.h"
#include "traffic/callhead.h"
#include "traffic/evacuations.h"
#include "traffic/eventsplitter.h"
#include "traffic/serverregistry.h"
#include "traffic/servertable.h"
#include "traffic/streamadmission.h"
#include "traffic/trafficconfiguration.h"
#include "traffic/trafficconfigurationbuilder.h"
