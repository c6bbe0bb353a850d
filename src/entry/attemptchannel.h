#pragma once

#include "entry/attemptevent.h"
#include "net/notification.h"

#include <deque>
#include <optional>

namespace Cardamomhill
{

/// Queues the events of one attempt between its AgentLink and the handler of its request.
class AttemptChannel
{
public:
    explicit AttemptChannel(asio::io_context &context);

    void push(AttemptEvent event);

    /// Ends the current and all later waits, because the caller has disconnected.
    void abandon();

    /// Waits for the next event; returns nothing when the deadline has passed or the channel is abandoned.
    Task<std::optional<AttemptEvent>> next(SteadyTime deadline);

    /// Returns an event that was already received, or nothing.
    std::optional<AttemptEvent> poll();

    bool isAbandoned() const;

private:
    std::deque<AttemptEvent> m_events;
    Notification m_notification;
    bool m_isAbandoned = false;
};

} // namespace Cardamomhill
