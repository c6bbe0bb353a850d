#pragma once

#include "core/clocktypes.h"
#include "net/asio.h"
#include "net/wakeup.h"
#include "objectstore/objectcopy.h"

#include <set>

namespace Cardamomhill
{

/// The objects of one kind as a relay passes them on, and the calls that wait for a change of them.
class RelayedKind
{
public:
    explicit RelayedKind(asio::io_context &context);

    /// Whether this host follows the store for others. Without it their calls are declined.
    void setOffered(bool isOffered);
    bool isOffered() const;
    /// This host has become a relay and is about to list all objects.
    bool isPreparing() const;

    void replace(const ObjectPage &all);
    void apply(const ObjectPage &changes);
    /// The contact with the store is lost.
    void clear();

    const ObjectCopy &copy() const;

    /// Returns when something has changed or the time has come.
    Task<> waitForChange(SteadyTime until);

private:
    void wakeUp();

    asio::io_context &m_context;
    bool m_isOffered = false;
    bool m_isPreparing = false;
    ObjectCopy m_copy;
    std::set<Wakeup *> m_waiting;
};

} // namespace Cardamomhill
