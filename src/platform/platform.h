#pragma once

// Client logic for the platform's object API, without I/O.

#include "platform/digestscope.h"
#include "platform/objectkey.h"
#include "platform/objectstore.h"
#include "platform/versionedobject.h"
