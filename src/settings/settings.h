#pragma once

// YAML settings of the processes, checked in full before anything starts.

#include "settings/agentsettings.h"
#include "settings/entrysettings.h"
#include "settings/settingserror.h"
