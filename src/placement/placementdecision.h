#pragma once

#include "placement/keepmap.h"
#include "placement/placementplan.h"

#include <string>
#include <variant>

namespace Cardamomhill
{

using PlacementDecision = std::variant<PlacementPlan, KeepMap>;

/// One line for the log, as key=value pairs.
std::string logLine(const PlacementDecision &decision);

} // namespace Cardamomhill
