#pragma once

#include "placement/keepmapdecision.h"
#include "placement/placementplan.h"

#include <string>
#include <variant>

namespace Cardamomhill
{

/// Either to move replicas or to keep the map.
using PlacementDecision = std::variant<PlacementPlan, KeepMapDecision>;

/// The decision as key=value pairs in one line for the log.
std::string logLine(const PlacementDecision &decision);

} // namespace Cardamomhill
