#pragma once

// The direct path: takes calls of callers over HTTP and sends them straight to backend servers.

#include "gateway/calldialect.h"
#include "gateway/gatewayprogram.h"
#include "gateway/gatewaysettings.h"
#include "gateway/storedialect.h"
