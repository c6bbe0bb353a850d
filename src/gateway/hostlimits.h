#pragma once

#include "net/httplimits.h"

#include <cstddef>

namespace Cardamomhill
{

struct CallerLimits;
struct GatewaySettings;

/// The limits of the server for callers, from the configuration and from the memory and the descriptors of the host.
HttpLimits httpLimitsOf(const CallerLimits &limits, const GatewaySettings &settings);

/// How many bytes may wait in each queue of a connection to a caller or a server, or 0 if the memory of the host allows
/// for more than the connections use.
std::size_t socketQueueBytesOf(const GatewaySettings &settings);

} // namespace Cardamomhill
