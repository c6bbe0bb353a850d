#pragma once

#include "entry/attemptevent.h"
#include "net/wakeup.h"

#include <deque>
#include <optional>

namespace Cardamomhill
{

/// Carries the events of one attempt from its agent link to its request.
class AttemptChannel
{
public:
    explicit AttemptChannel(asio::io_context &context);

    void push(AttemptEvent event);

    /// Ends the present and all later waits; the caller is gone.
    void abandon();

    /// The next event; nothing when the deadline has passed or the caller is gone.
    Task<std::optional<AttemptEvent>> next(SteadyTime deadline);

    /// An event that has already arrived, or nothing.
    std::optional<AttemptEvent> poll();

    bool isAbandoned() const;

private:
    std::deque<AttemptEvent> m_events;
    Wakeup m_wakeup;
    bool m_isAbandoned = false;
};

} // namespace Cardamomhill
