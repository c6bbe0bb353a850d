#pragma once

// Typed configuration objects, their checks, and the immutable view of them that the rest of the system reads.

#include "config/backendserver.h"
#include "config/configerror.h"
#include "config/configuration.h"
#include "config/configurationbuilder.h"
#include "config/idempotentcall.h"
#include "config/organisation.h"
#include "config/profile.h"
#include "config/service.h"
#include "config/servicekind.h"
#include "config/tokenhash.h"
#include "config/trafficclass.h"
