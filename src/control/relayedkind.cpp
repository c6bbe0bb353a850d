#include "control/relayedkind.h"

namespace Cardamomhill
{

RelayedKind::RelayedKind(asio::io_context &context)
    : m_context(context)
{
}

void RelayedKind::setOffered(bool isOffered)
{
    clear();
    m_isOffered = isOffered;
    m_isPreparing = isOffered;
}

bool RelayedKind::isOffered() const
{
    return m_isOffered;
}

bool RelayedKind::isPreparing() const
{
    return m_isPreparing;
}

void RelayedKind::replace(const ObjectPage &all)
{
    if (m_isOffered) {
        m_isPreparing = false;
        m_copy.replace(all);
        wakeUp();
    }
}

void RelayedKind::apply(const ObjectPage &changes)
{
    if (m_copy.isComplete()) {
        m_copy.apply(changes);
        wakeUp();
    }
}

void RelayedKind::clear()
{
    m_isPreparing = false;
    m_copy.clear();
    wakeUp();
}

const ObjectCopy &RelayedKind::copy() const
{
    return m_copy;
}

Task<> RelayedKind::waitForChange(SteadyTime until)
{
    Wakeup wakeup(m_context);
    m_waiting.insert(&wakeup);
    co_await wakeup.waitUntil(until);
    m_waiting.erase(&wakeup);
}

void RelayedKind::wakeUp()
{
    for (auto *const waiting : m_waiting) {
        waiting->notify();
    }
}

} // namespace Cardamomhill
