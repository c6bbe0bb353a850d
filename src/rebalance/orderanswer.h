#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// Result of an order.
enum class OrderAnswer : std::uint8_t {
    /// The order was started or carried out, or the rank was already in the ordered state.
    Accepted,
    /// The order conflicts with the rank's state, or the group runs in another epoch.
    Conflict,
    /// The rank has seen a higher fencing token, so another coordinator has taken over.
    Fenced,
    /// No answer was received: the order may have been carried out, or may still be.
    NoAnswer,
};

constexpr auto nameTable(OrderAnswer)
{
    return std::to_array<NamedValue<OrderAnswer>>({
        {OrderAnswer::Accepted, "accepted"},
        {OrderAnswer::Conflict, "conflict"},
        {OrderAnswer::Fenced, "fenced"},
        {OrderAnswer::NoAnswer, "lost"},
    });
}

} // namespace Cardamomhill
