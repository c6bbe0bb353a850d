#pragma once

#include "net/asio.h"

#include <optional>
#include <string>

namespace Cardamomhill
{

/// Parses "address:port", where the address is an IPv4 or IPv6 address and the port is not 0.
std::optional<tcp::endpoint> parseAddress(const std::string &text);

} // namespace Cardamomhill
