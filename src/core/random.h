#pragma once

#include <random>

namespace Cardamomhill
{

/// The random number generator, which is passed to every function that needs randomness so that tests can seed it.
using Random = std::mt19937_64;

} // namespace Cardamomhill
