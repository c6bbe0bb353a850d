#pragma once

#include "core/clocktypes.h"
#include "net/asio.h"

namespace Cardamomhill
{

/// Lets one coroutine wait until another on the same thread has news for it.
class Wakeup
{
public:
    explicit Wakeup(asio::io_context &context);

    /// Ends the present wait, or the next one when nobody waits.
    void notify();

    /// Waits for notify() or until the time is up. Returns false when the time was up.
    Task<bool> waitUntil(SteadyTime deadline);

private:
    asio::steady_timer m_timer;
    bool m_notified = false;
};

} // namespace Cardamomhill
