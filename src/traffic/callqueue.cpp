#include "traffic/callqueue.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

/// Time over which the rate of sent calls is counted.
constexpr Seconds RateWindow{2};

} // namespace

CallQueue::Order CallQueue::orderOf(const WaitingCall &call, Ticket ticket, SteadyTime now) const
{
    const auto sent = m_sentOf.find(call.organisation);
    Order order;
    order.urgency = call.urgency;
    order.isLate = call.inTimeUntil < now;
    order.sentOfOrganisation = sent == m_sentOf.end() ? 0 : sent->second;
    order.deadline = order.isLate ? call.servableUntil : call.inTimeUntil;
    order.ticket = ticket;
    return order;
}

CallQueue::Ticket CallQueue::add(const WaitingCall &call)
{
    m_calls.emplace(++m_lastTicket, call);
    return m_lastTicket;
}

void CallQueue::remove(Ticket ticket)
{
    m_calls.erase(ticket);
}

std::size_t CallQueue::callsBefore(Ticket ticket, SteadyTime now) const
{
    const auto own = orderOf(m_calls.at(ticket), ticket, now);
    const auto before = std::count_if(m_calls.begin(), m_calls.end(), [&](const auto &entry) {
        return orderOf(entry.second, entry.first, now) < own;
    });
    return static_cast<std::size_t>(before);
}

bool CallQueue::isNext(Ticket ticket, SteadyTime now) const
{
    return callsBefore(ticket, now) == 0;
}

void CallQueue::recordSent(SteadyTime now, WaitingCall::OrganisationKey organisation)
{
    auto &oldest = m_sent[m_sentCount % MaxSent];
    if (m_sentCount >= MaxSent && --m_sentOf[oldest.organisation] == 0) {
        m_sentOf.erase(oldest.organisation);
    }
    oldest = {now, organisation};
    ++m_sentOf[organisation];
    ++m_sentCount;
}

bool CallQueue::canBeServed(Ticket ticket, SteadyTime now) const
{
    const auto before = callsBefore(ticket, now);
    const auto sent = std::count_if(m_sent.begin(), m_sent.end(), [now](const SentCall &call) {
        return call.sentAt != SteadyTime() && now - call.sentAt <= RateWindow;
    });
    const auto timeLeft = std::chrono::duration<double>(waitLimit(m_calls.at(ticket)) - now);
    const auto window = std::chrono::duration<double>(RateWindow);
    // The first call in the queue may always wait: nothing is known of the room that comes.
    return static_cast<double>(before) <= static_cast<double>(sent) * (timeLeft / window);
}

SteadyTime CallQueue::waitLimit(const WaitingCall &call)
{
    return call.waitsWhenLate ? call.servableUntil : std::min(call.inTimeUntil, call.servableUntil);
}

std::size_t CallQueue::size() const
{
    return m_calls.size();
}

} // namespace Cardamomhill
