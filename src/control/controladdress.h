#pragma once

#include "membership/controladdress.h"
#include "net/asio.h"

#include <optional>

namespace Cardamomhill
{

/// The control address of an endpoint, such as "192.0.2.7:7400".
ControlAddress controlAddress(const tcp::endpoint &endpoint);

/// The endpoint of a control address, or std::nullopt if it is malformed.
std::optional<tcp::endpoint> endpointOf(const ControlAddress &address);

} // namespace Cardamomhill
