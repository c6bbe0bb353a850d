#pragma once

// Client logic for the platform's object API, without I/O.

#include "platform/objectkey.h"
#include "platform/versionedobject.h"
