#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// What became of an order.
enum class OrderAnswer : std::uint8_t {
    /// Begun or done, or the state held already.
    Accepted,
    /// Does not fit the state of the rank, or the group runs in another epoch.
    Conflict,
    /// The rank has seen a higher token: another coordinator is in charge.
    Fenced,
    /// Nothing is known: it may have been carried out, or may be later.
    Lost,
};

constexpr auto nameTable(OrderAnswer)
{
    return std::to_array<NamedValue<OrderAnswer>>({
        {OrderAnswer::Accepted, "accepted"},
        {OrderAnswer::Conflict, "conflict"},
        {OrderAnswer::Fenced, "fenced"},
        {OrderAnswer::Lost, "lost"},
    });
}

} // namespace Cardamomhill
