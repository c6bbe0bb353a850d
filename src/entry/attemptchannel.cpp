#include "entry/attemptchannel.h"

namespace Cardamomhill
{

AttemptChannel::AttemptChannel(asio::io_context &context)
    : m_notification(context)
{
}

void AttemptChannel::push(AttemptEvent event)
{
    m_events.push_back(std::move(event));
    m_notification.notify();
}

void AttemptChannel::abandon()
{
    m_isAbandoned = true;
    m_notification.notify();
}

Task<std::optional<AttemptEvent>> AttemptChannel::next(SteadyTime deadline)
{
    bool isInTime = true;
    while (isInTime && m_events.empty() && !m_isAbandoned) {
        isInTime = co_await m_notification.waitUntil(deadline);
    }
    co_return poll();
}

std::optional<AttemptEvent> AttemptChannel::poll()
{
    if (m_events.empty() || m_isAbandoned) {
        return std::nullopt;
    }
    std::optional<AttemptEvent> event(std::move(m_events.front()));
    m_events.pop_front();
    return event;
}

bool AttemptChannel::isAbandoned() const
{
    return m_isAbandoned;
}

} // namespace Cardamomhill
