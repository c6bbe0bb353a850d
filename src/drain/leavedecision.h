#pragma once

#include "core/clocktypes.h"
#include "core/memberstate.h"
#include "drain/leavereason.h"

#include <optional>

namespace Cardamomhill
{

/// Decides whether this process leaves. The decision is final in this incarnation.
class LeaveDecision
{
public:
    /// Host lists that show the host as leaving since the start of the process, and never as live, may still refer to
    /// the previous incarnation. They take effect only after this time.
    static constexpr Microseconds staleListTimeout = Seconds(60);

    /// Call on SIGTERM or when the configuration retires the process. Only the first reason counts.
    void leave(LeaveReason reason, SteadyTime now);
    /// Call with the state of this host in a host list, or nothing if the list lacks it, which has no effect.
    void onHostList(std::optional<MemberState> listed, SteadyTime now);

    bool isLeaving() const;
    /// The first reason. Requires isLeaving().
    LeaveReason reason() const;
    /// When the process decided to leave. Requires isLeaving().
    SteadyTime since() const;

private:
    std::optional<LeaveReason> m_reason;
    SteadyTime m_since;
    bool m_wasListedLive = false;
    std::optional<SteadyTime> m_listedLeavingSince;
};

} // namespace Cardamomhill
