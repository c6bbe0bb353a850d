#pragma once

#include "core/clocktypes.h"
#include "core/loadreport.h"
#include "core/memberstate.h"

#include <cstdint>

namespace Cardamomhill
{

/// State and load of a backend server as known to an entry process.
struct ServerLoad {
    MemberState state = MemberState::Live;
    std::uint64_t incarnation = 0;
    LoadReport load;
    /// When the agent made the report, on this process's clock, not counting the transit time of messages.
    SteadyTime reportedAt;
};

} // namespace Cardamomhill
