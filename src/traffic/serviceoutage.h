#pragma once

#include "core/clocktypes.h"

#include <cstddef>
#include <optional>

namespace Cardamomhill
{

/// Constants of ServiceOutage.
struct ServiceOutageOptions {
    /// No server of the service has sent an event for this long. Nothing if outages are not to be noticed.
    std::optional<Milliseconds> silence;
    /// Calls that failed meanwhile.
    std::size_t minFailures = 2;
    /// Failures that are older than this say nothing about now.
    Milliseconds failureLifetime{3000};
    /// During an outage one call is sent each time to find out whether the servers are back.
    Milliseconds probeInterval{500};
    /// An outage is expected to last as long again as it has lasted. A call waits if it has lasted for at most this
    /// many times as long as the call can wait in all.
    int maxAgePerWait = 8;
    /// Time after an outage in which the rate at which calls can be sent is not yet known.
    Milliseconds recoveryTime{2500};
};

/// Finds out from the calls of one host whether a service has stopped as a whole, as the engines of a lock-step group
/// do when one failure domain is cut off, and what to do with calls until it works again.
///
/// Answers the load of an outage of seconds: callers that are sent away to come back within a second are refused twice
/// and lost, and all calls that are sent to the servers meanwhile fail late. New calls are refused at once and told to
/// come back as late as their callers accept; a call that has come back waits for the end of the outage, since its
/// caller does not come a third time.
class ServiceOutage
{
public:
    explicit ServiceOutage(ServiceOutageOptions options = {});

    /// Whether outages are noticed at all.
    bool isEnabled() const;

    /// Records that a server of the service has sent an event of a stream, or that its servers take calls again.
    void recordProgress(SteadyTime now);

    /// Records that a call could not be sent to a server, or was refused or broken off there.
    void recordFailure(SteadyTime now);

    /// Whether the service has stopped.
    bool isOut(SteadyTime now) const;

    /// Whether a call may be sent to a server although the service has stopped; counts it if so.
    bool tryProbe(SteadyTime now);

    /// Whether a call that can wait for so long in all should wait for the end of the outage.
    bool isWorthWaiting(Microseconds wait, SteadyTime now) const;

    /// Whether the service has worked again only for a short time.
    bool isRecovering(SteadyTime now) const;

    /// How long after its refusal a call should come back: as late as its caller accepts, but no longer than outages
    /// usually last.
    /// @param remaining time until the call's deadline
    static Milliseconds returnAfter(Milliseconds remaining);

private:
    ServiceOutageOptions m_options;
    SteadyTime m_progressAt{};
    SteadyTime m_failedAt{};
    SteadyTime m_probedAt{};
    /// When the first of the failures since the last progress was recorded.
    SteadyTime m_failingSince{};
    SteadyTime m_endedAt{};
    /// An outage was noticed, and no progress was recorded since. Failures may be too old to show it any more.
    bool m_wasOut = false;
    std::size_t m_failures = 0;
};

} // namespace Cardamomhill
