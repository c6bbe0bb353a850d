#pragma once

#include "core/clocktypes.h"
#include "core/random.h"
#include "objectstore/backoff.h"

#include <functional>
#include <vector>

namespace Cardamomhill
{

/// Settings of StoreAvailability.
struct StoreAvailabilityOptions {
    /// Delay of the first probe after a failure.
    Milliseconds firstProbeDelay{200};
    /// Longest time from the start of one probe to the start of the next. A host must meet the time limits for changes
    /// only some seconds after the store is available again, and from its own first successful call it waits two
    /// seconds for registrations that expired.
    Milliseconds maxProbeInterval{1900};
    /// After this time another probe is sent even if the previous one has not ended.
    Milliseconds probeTimeout{2500};
};

/// Tracks whether the platform's store is available, for all its clients within one process. While it is unavailable,
/// one client at a time probes it and the others wait: each call is charged, and a fleet in which every client probes
/// would send a burst of calls to a store that has just become available again.
class StoreAvailability
{
public:
    explicit StoreAvailability(StoreAvailabilityOptions options = {});

    /// Whether a call may be made now. While the store is unavailable, true reserves the probe for this client. The
    /// call must be followed by onSuccess() or onFailure().
    bool tryBeginCall(SteadyTime now);
    void onSuccess();
    void onFailure(SteadyTime now, Random &random);

    bool isUnavailable() const;

    /// Registers an observer, called each time the store becomes unavailable. It lets clients abort calls that an
    /// unresponsive store has accepted but will not answer, which would otherwise wait for long.
    void onUnavailable(std::function<void()> observer);

private:
    StoreAvailabilityOptions m_options;
    Backoff m_backoff;
    bool m_isUnavailable = false;
    bool m_isProbing = false;
    SteadyTime m_probeStartedAt{};
    SteadyTime m_nextProbeAt{};
    std::vector<std::function<void()>> m_observers;
};

} // namespace Cardamomhill
