#pragma once

#include "core/clocktypes.h"
#include "net/asio.h"
#include "net/notification.h"
#include "objectstore/objectcopy.h"

#include <set>

namespace Cardamomhill
{

/// The objects of one kind that a relay serves to other hosts, and the calls that wait for them to change.
class RelayedKind
{
public:
    explicit RelayedKind(asio::io_context &context);

    /// Sets whether this host is a relay for this kind. If not, calls of other hosts are declined.
    void setRelaying(bool isRelaying);
    bool isRelaying() const;
    /// Whether this host has become a relay and its first list of all objects is pending.
    bool isAwaitingList() const;

    void replace(const ObjectPage &all);
    void apply(const ObjectPage &changes);
    /// Discards the objects, because contact with the store is lost.
    void clear();

    const ObjectCopy &copy() const;

    /// Returns at the next change, or at the given time.
    Task<> waitForChange(SteadyTime until);

private:
    void notifyWaiters();

    asio::io_context &m_context;
    bool m_isRelaying = false;
    bool m_isAwaitingList = false;
    ObjectCopy m_copy;
    std::set<Notification *> m_waiters;
};

} // namespace Cardamomhill
