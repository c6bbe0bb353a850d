#pragma once

#include "core/random.h"

#include <string>

namespace Cardamomhill
{

/// Returns a random id for one write to the platform. Its 64 random bits make a collision very unlikely.
inline std::string makeOperationId(Random &random)
{
    return "operator-" + std::to_string(random());
}

} // namespace Cardamomhill
