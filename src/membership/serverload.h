#pragma once

#include "core/clocktypes.h"
#include "core/loadreport.h"
#include "core/memberstate.h"

#include <cstdint>

namespace Cardamomhill
{

/// What an entry process knows of a backend server.
struct ServerLoad {
    MemberState state = MemberState::Live;
    std::uint64_t incarnation = 0;
    LoadReport load;
    /// When the agent made the report, on this process's clock, without the time that messages were under way.
    SteadyTime reportedAt;
};

} // namespace Cardamomhill
