#pragma once

// Checks a configuration document before it is sent: fields that gateways reject or ignore, entries that can never
// match, contradictory limits, and the differences from another version. Does no I/O.

#include "configcheck/configurationcheck.h"
#include "configcheck/configurationdocument.h"
#include "configcheck/configurationdocumentbuilder.h"
#include "configcheck/documentcodec.h"
#include "configcheck/finding.h"
#include "configcheck/findingtext.h"
#include "configcheck/processlimits.h"
