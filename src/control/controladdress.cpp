#include "control/controladdress.h"

#include "net/address.h"

#include <sstream>

namespace Cardamomhill
{

NodeAddress nodeAddress(const tcp::endpoint &endpoint)
{
    std::ostringstream text;
    text << endpoint;
    return NodeAddress(text.str());
}

std::optional<tcp::endpoint> endpointOf(const NodeAddress &address)
{
    return parseAddress(address.value());
}

} // namespace Cardamomhill
