#pragma once

// Basic types and functions that all other modules use.

#include "core/clocktypes.h"
#include "core/hash.h"
#include "core/identifier.h"
#include "core/identifiers.h"
#include "core/joinwithcommas.h"
#include "core/jsonerror.h"
#include "core/jsonfield.h"
#include "core/jsonpage.h"
#include "core/jsonstructure.h"
#include "core/loadreport.h"
#include "core/memberstate.h"
#include "core/nametable.h"
#include "core/parsejson.h"
#include "core/parsenumber.h"
#include "core/random.h"
#include "core/result.h"
#include "core/wholenumber.h"
