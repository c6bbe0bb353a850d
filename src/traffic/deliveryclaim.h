#pragma once

#include <cstdint>

namespace Cardamomhill
{

/// Whether an attempt may deliver what it has received.
enum class DeliveryClaim : std::uint8_t {
    Granted,
    /// It takes the place of the attempt that delivered until now.
    TakenOver,
    /// Another attempt delivers.
    Refused,
};

} // namespace Cardamomhill
