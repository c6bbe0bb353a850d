#pragma once

// At-most-once execution of non-idempotent requests.

#include "execution/clockbounds.h"
#include "execution/decision.h"
#include "execution/executionerror.h"
#include "execution/executionlimits.h"
#include "execution/executionregistry.h"
#include "execution/handovererror.h"
#include "execution/handovermessages.h"
#include "execution/idempotencykey.h"
#include "execution/keyerror.h"
#include "execution/ownershipupdater.h"
#include "execution/slotentry.h"
#include "execution/slotexport.h"
#include "execution/slothandover.h"
#include "execution/slotnumber.h"
#include "execution/slotphase.h"
#include "execution/slottable.h"
#include "execution/slottableerror.h"
