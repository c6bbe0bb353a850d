#pragma once

#include "core/clocktypes.h"
#include "core/memberstate.h"
#include "drain/leavereason.h"

#include <optional>

namespace Cardamomhill
{

/// Decides whether this process leaves. The decision is final: nothing takes it back in this incarnation.
class LeaveDecision
{
public:
    /// A host list that shows the host as leaving from the start of the process, and never as live, may still mean the
    /// incarnation before; it counts only after this time.
    static constexpr Microseconds staleListLimit = Seconds(60);

    /// SIGTERM or retirement.
    void onReason(LeaveReason reason, SteadyTime now);
    /// The state of the own host in a host list; nothing when the list lacks the host, which says nothing.
    void onHostList(std::optional<MemberState> listed, SteadyTime now);

    bool isLeaving() const;
    /// The first reason, and when it was learnt. Only to be read when leaving.
    LeaveReason reason() const;
    SteadyTime since() const;

private:
    std::optional<LeaveReason> m_reason;
    SteadyTime m_since;
    bool m_wasListedLive = false;
    std::optional<SteadyTime> m_listedLeavingSince;
};

} // namespace Cardamomhill
