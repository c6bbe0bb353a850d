#include "drain/leavedecision.h"

namespace Cardamomhill
{

void LeaveDecision::leave(LeaveReason reason, SteadyTime now)
{
    if (!m_reason) {
        m_reason = reason;
        m_since = now;
    }
}

void LeaveDecision::onHostList(std::optional<MemberState> listed, SteadyTime now)
{
    if (listed == MemberState::Live) {
        m_wasListedLive = true;
        m_listedLeavingSince.reset();
    } else if (listed == MemberState::Leaving) {
        if (!m_listedLeavingSince) {
            m_listedLeavingSince = now;
        }
        if (m_wasListedLive || now - *m_listedLeavingSince >= staleListTimeout) {
            leave(LeaveReason::HostLeaving, now);
        }
    }
}

bool LeaveDecision::isLeaving() const
{
    return m_reason.has_value();
}

LeaveReason LeaveDecision::reason() const
{
    return m_reason.value();
}

SteadyTime LeaveDecision::since() const
{
    return m_since;
}

} // namespace Cardamomhill
