#pragma once

#include "core/identifier.h"

namespace Cardamomhill
{

/// The address at which a process receives control messages, such as "192.0.2.7:7400".
using ControlAddress = Identifier<struct ControlAddressTag>;

} // namespace Cardamomhill
