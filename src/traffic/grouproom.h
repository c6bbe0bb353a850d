#pragma once

#include <cstddef>

namespace Cardamomhill
{

/// How many calls fit into a lock-step group.
struct GroupRoom {
    /// Calls that may still be sent to the group; negative if it has more than it should.
    double calls = 0;
    std::size_t engines = 0;
};

} // namespace Cardamomhill
