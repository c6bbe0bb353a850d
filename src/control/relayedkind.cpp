#include "control/relayedkind.h"

namespace Cardamomhill
{

RelayedKind::RelayedKind(asio::io_context &context)
    : m_context(context)
{
}

void RelayedKind::setRelaying(bool isRelaying)
{
    clear();
    m_isRelaying = isRelaying;
    m_isAwaitingList = isRelaying;
}

bool RelayedKind::isRelaying() const
{
    return m_isRelaying;
}

bool RelayedKind::isAwaitingList() const
{
    return m_isAwaitingList;
}

void RelayedKind::replace(const ObjectPage &all)
{
    if (m_isRelaying) {
        m_isAwaitingList = false;
        m_copy.replace(all);
        notifyWaiters();
    }
}

void RelayedKind::apply(const ObjectPage &changes)
{
    if (m_copy.isComplete()) {
        m_copy.apply(changes);
        notifyWaiters();
    }
}

void RelayedKind::clear()
{
    m_isAwaitingList = false;
    m_copy.clear();
    notifyWaiters();
}

const ObjectCopy &RelayedKind::copy() const
{
    return m_copy;
}

Task<> RelayedKind::waitForChange(SteadyTime until)
{
    Notification notification(m_context);
    m_waiters.insert(&notification);
    co_await notification.waitUntil(until);
    m_waiters.erase(&notification);
}

void RelayedKind::notifyWaiters()
{
    for (auto *const waiting : m_waiters) {
        waiting->notify();
    }
}

} // namespace Cardamomhill
