#pragma once

#include "net/asio.h"

namespace Cardamomhill
{

/// Makes the kernel break a connection whose peer answers nothing, neither probes of an idle connection nor data,
/// within about three seconds. Without it a connection that went silent stays open for hours.
void detectSilence(tcp::socket &socket);

} // namespace Cardamomhill
