#pragma once

#include "net/asio.h"

#include <optional>
#include <string>

namespace Cardamomhill
{

/// Reads "address:port" with an IP address.
std::optional<tcp::endpoint> parseAddress(const std::string &text);

} // namespace Cardamomhill
