#pragma once

// Client logic for the platform's object API, without I/O.

#include "platform/backoff.h"
#include "platform/conditionalchange.h"
#include "platform/conditionalwriter.h"
#include "platform/digestscope.h"
#include "platform/followanswer.h"
#include "platform/followrequest.h"
#include "platform/followresult.h"
#include "platform/objectkey.h"
#include "platform/objectstore.h"
#include "platform/operationhistory.h"
#include "platform/platformerror.h"
#include "platform/platformobject.h"
#include "platform/versionedobject.h"
#include "platform/watchfollower.h"
#include "platform/writeoutcome.h"
#include "platform/writerequest.h"
