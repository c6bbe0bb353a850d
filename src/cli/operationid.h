#pragma once

#include "core/random.h"

#include <string>

namespace Cardamomhill
{

/// A name for one write to the platform, unique with near certainty (64 random bits).
inline std::string drawOperationId(Random &random)
{
    return "operator-" + std::to_string(random());
}

} // namespace Cardamomhill
