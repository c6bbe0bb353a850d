#pragma once

#include "membership/hostrow.h"
#include "membership/serverrow.h"

#include <vector>

namespace Cardamomhill
{

/// Rows chosen for one message.
struct MemberRows {
    std::vector<HostRow> hosts;
    std::vector<ServerRow> servers;
};

} // namespace Cardamomhill
