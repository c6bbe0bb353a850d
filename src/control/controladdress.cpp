#include "control/controladdress.h"

#include "net/address.h"

#include <sstream>

namespace Cardamomhill
{

ControlAddress controlAddress(const tcp::endpoint &endpoint)
{
    std::ostringstream text;
    text << endpoint;
    return ControlAddress(text.str());
}

std::optional<tcp::endpoint> endpointOf(const ControlAddress &address)
{
    return parseAddress(address.value());
}

} // namespace Cardamomhill
