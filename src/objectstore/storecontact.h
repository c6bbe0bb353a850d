#pragma once

#include "core/clocktypes.h"
#include "core/random.h"
#include "objectstore/backoff.h"

#include <functional>
#include <vector>

namespace Cardamomhill
{

/// Constants of StoreContact.
struct StoreContactOptions {
    /// Delay of the first probe after a failure.
    Milliseconds firstDelay{200};
    /// Longest delay between the beginnings of two probes. A host is held to the bounds on changes only some seconds
    /// after the store's return, and waits two seconds from its own contact for registrations that lapsed.
    Milliseconds delayLimit{1900};
    /// A probe that has not ended after this time is not waited for.
    Milliseconds probeLimit{2500};
};

/// Whether the platform's store answers, for all callers of one process. While it does not, one of them at a time
/// probes it and the others wait: each call is charged, and a fleet that probes with every caller meets the returning
/// store with a burst.
class StoreContact
{
public:
    explicit StoreContact(StoreContactOptions options = {});

    /// Whether a call may be made now. It must be followed by succeeded() or failed().
    bool mayCall(SteadyTime now);
    void succeeded();
    void failed(SteadyTime now, Random &random);

    bool isLost() const;

    /// Told whenever the contact is lost. A call that waits in a store that accepts calls and answers none would wait
    /// for long.
    void onLost(std::function<void()> observer);

private:
    StoreContactOptions m_options;
    Backoff m_backoff;
    bool m_isLost = false;
    bool m_isProbing = false;
    SteadyTime m_probedAt{};
    SteadyTime m_probeAt{};
    std::vector<std::function<void()>> m_observers;
};

} // namespace Cardamomhill
