#include "placement/placementerror.h"

namespace Cardamomhill
{

std::string PlacementError::message() const
{
    return std::string(nameOf(code)) + " (layer " + std::to_string(layer) + ", expert " + std::to_string(expert)
        + ", rank " + std::to_string(rank) + ")";
}

} // namespace Cardamomhill
