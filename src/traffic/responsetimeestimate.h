#pragma once

#include "core/clocktypes.h"

namespace Cardamomhill
{

struct ObservedTimes;

/// Estimates when a plain server responds to one call, as seen by one host.
///
/// Answers uneven demand: where the failure domains differ in demand, the servers of a busy one have calls waiting
/// while those of another are idle. A call is better sent there if the wait is longer than the way.
struct ResponseTimeEstimate {
    double slots = 1;
    double serviceMs = 0;
    /// Twice the one-way latency to the server's failure domain.
    double roundTripMs = 0;

    /// Expected wait for a slot: each time that the server completes a call, the first waiting one gets its slot.
    /// @param calls in progress at the server, with this one
    double waitMs(double calls) const;
    double milliseconds(double calls) const;

    /// The service time of a call that was answered after `elapsed`, without its wait and its way.
    /// @param calls in progress at the server when it was sent, with this one
    static double serviceMsFrom(Microseconds elapsed, Microseconds roundTrip, double calls, double slots);

    /// The part of the calls that stay at the server which would respond soonest if it had no calls, while notices of
    /// other hosts show that another responds sooner now. The notices are older than most calls that they count. If all
    /// hosts moved all calls at once, the other server would have the longest queue before the next notices.
    /// @param reportedShare the part of the calls at the first server that this host knows from notices only
    static double stayProbability(double homeMs, double soonestMs, double reportedShare);

    /// Whether two expected times are so close that the calls should be shared between the servers. Hosts see the same
    /// loads, 0.3 s old, and would all choose the same server.
    bool isNearlyEqual(double firstMs, double secondMs) const;
};

/// The service time of a server. Servers whose times are unknown, or differ from those of the service by no more than
/// chance explains, get the mean of the service: calls differ, and a server is not slower for having got longer ones.
double serviceMsOf(const ObservedTimes &server, const ObservedTimes &service);

} // namespace Cardamomhill
