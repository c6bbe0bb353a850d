#pragma once

#include "core/clocktypes.h"
#include "net/asio.h"

namespace Cardamomhill
{

/// Lets one coroutine wait until another one on the same thread notifies it.
class Notification
{
public:
    explicit Notification(asio::io_context &context);

    /// Ends the current wait, or the next one if no coroutine is waiting.
    void notify();

    /// Waits for notify() or the deadline. Returns whether it was notified.
    Task<bool> waitUntil(SteadyTime deadline);

private:
    asio::steady_timer m_timer;
    bool m_notified = false;
};

} // namespace Cardamomhill
