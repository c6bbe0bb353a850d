#pragma once

#include "net/asio.h"

#include <sstream>
#include <string>

namespace Cardamomhill
{

/// "tcp://address:port", with brackets around IPv6 addresses.
inline std::string nngUrl(const tcp::endpoint &endpoint)
{
    std::ostringstream url;
    url << "tcp://" << endpoint;
    return url.str();
}

} // namespace Cardamomhill
