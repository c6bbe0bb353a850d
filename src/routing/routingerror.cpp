#include "routing/routingerror.h"

namespace Cardamomhill
{

std::string RoutingError::message() const
{
    return "no backend server for service " + service.value() + ": " + std::string(nameOf(code)) + ", retry after "
        + std::to_string(retryAfter.count()) + " ms";
}

} // namespace Cardamomhill
