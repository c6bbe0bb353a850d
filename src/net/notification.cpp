#include "net/notification.h"

namespace Cardamomhill
{

Notification::Notification(asio::io_context &context)
    : m_timer(context)
{
}

void Notification::notify()
{
    m_notified = true;
    m_timer.cancel();
}

Task<bool> Notification::waitUntil(SteadyTime deadline)
{
    if (!m_notified) {
        SystemError error;
        m_timer.expires_at(deadline);
        co_await m_timer.async_wait(storeError(error));
    }
    co_return std::exchange(m_notified, false);
}

} // namespace Cardamomhill
