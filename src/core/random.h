#pragma once

#include <random>

namespace Cardamomhill
{

/// The generator that is handed into every decision that needs randomness; tests seed it.
using Random = std::mt19937_64;

} // namespace Cardamomhill
