#pragma once

// Typed configuration objects, their validation, and the immutable snapshot of them that the other modules read.

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
