#pragma once

#include "core/clocktypes.h"

#include <cstddef>

namespace Cardamomhill
{

/// Constants of AdmissionPacer.
struct AdmissionPacerOptions {
    /// Time after which a host knows which calls the others have sent.
    Microseconds noticeDelay = Milliseconds(500);
    /// Calls that a host may send at once after a time in which it sent none.
    double maxBurst = 2;
};

/// Limits how fast one host fills the room that all hosts see in a group.
///
/// Answers a backlog at many hosts: each sees the same room, and without a limit all of them would fill it before any
/// learns what the others sent. Each host uses its share of the room in the time after which the others know of it.
class AdmissionPacer
{
public:
    explicit AdmissionPacer(AdmissionPacerOptions options = {});

    /// Whether a call may be sent now; counts it if so.
    /// @param room calls that still fit into the group, as far as this host knows
    /// @param engines number of engines in the group
    bool tryAdmit(double room, std::size_t engines, std::size_t hosts, SteadyTime now);

private:
    AdmissionPacerOptions m_options;
    double m_tokens = 0;
    SteadyTime m_updatedAt{};
};

} // namespace Cardamomhill
