#pragma once

// Client logic for the platform's object API, without I/O.

#include "objectstore/backoff.h"
#include "objectstore/conditionalchange.h"
#include "objectstore/conditionalwriter.h"
#include "objectstore/digestscope.h"
#include "objectstore/followanswer.h"
#include "objectstore/followrequest.h"
#include "objectstore/followresult.h"
#include "objectstore/objectkey.h"
#include "objectstore/objectpage.h"
#include "objectstore/objectstore.h"
#include "objectstore/operationhistory.h"
#include "objectstore/platformerror.h"
#include "objectstore/platformobject.h"
#include "objectstore/storecontact.h"
#include "objectstore/versionedobject.h"
#include "objectstore/watchfollower.h"
#include "objectstore/writeoutcome.h"
#include "objectstore/writerequest.h"
