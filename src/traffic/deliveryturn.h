#pragma once

#include "traffic/deliveryclaim.h"

#include <cstdint>
#include <optional>

namespace Cardamomhill
{

/// Decides which attempt of a call delivers its answer while a second one runs beside a silent one: the one that first
/// has something to deliver. Pieces of both are never joined.
class DeliveryTurn
{
public:
    using Ticket = std::uint32_t;

    /// Begins an attempt that delivers from now on.
    Ticket begin();

    /// Begins an attempt beside the one that delivers. It replaces an earlier one beside it.
    Ticket beginBeside();

    /// To be called before anything is delivered, the end of the answer included.
    DeliveryClaim claim(Ticket ticket);

    /// Whether the attempt can no longer deliver anything.
    bool isOver(Ticket ticket) const;

private:
    Ticket m_last = 0;
    /// The attempt that delivers.
    Ticket m_current = 0;
    std::optional<Ticket> m_beside;
};

} // namespace Cardamomhill
