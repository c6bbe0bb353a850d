#pragma once

// Choice of a backend server, admission control by organisation, retries and the outcome of requests.

#include "routing/admissioncontrol.h"
#include "routing/admissionrefusal.h"
#include "routing/attemptlog.h"
#include "routing/attemptresult.h"
#include "routing/backendtable.h"
#include "routing/priorityclass.h"
#include "routing/reportsource.h"
#include "routing/requestoutcome.h"
#include "routing/retrybudget.h"
#include "routing/retrypolicy.h"
#include "routing/retryrefusal.h"
#include "routing/routedserver.h"
#include "routing/router.h"
#include "routing/routingdecision.h"
#include "routing/routingerror.h"
#include "routing/slidingcount.h"
