#pragma once

// YAML settings of the processes, validated completely before a process starts its work.

#include "settings/agentsettings.h"
#include "settings/entrysettings.h"
#include "settings/settingserror.h"
