#include "traffic/deliveryturn.h"

namespace Cardamomhill
{

DeliveryTurn::Ticket DeliveryTurn::begin()
{
    m_current = ++m_last;
    m_beside.reset();
    return m_current;
}

DeliveryTurn::Ticket DeliveryTurn::beginBeside()
{
    m_beside = ++m_last;
    return *m_beside;
}

DeliveryClaim DeliveryTurn::claim(Ticket ticket)
{
    if (ticket == m_current) {
        // What the other attempt was asked for begins after an event that is no longer the last one.
        m_beside.reset();
        return DeliveryClaim::Granted;
    }
    if (ticket == m_beside) {
        m_current = ticket;
        m_beside.reset();
        return DeliveryClaim::TakenOver;
    }
    return DeliveryClaim::Refused;
}

bool DeliveryTurn::isOver(Ticket ticket) const
{
    return ticket != m_current && ticket != m_beside;
}

} // namespace Cardamomhill
