#pragma once

// The gateway, also called the direct path: accepts calls over HTTP and sends them to backend servers without an agent
// in between.

#include "gateway/callcodec.h"
#include "gateway/gatewayprogram.h"
#include "gateway/gatewaysettings.h"
#include "gateway/storecodec.h"
