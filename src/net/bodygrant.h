#pragma once

#include <cstdint>
#include <vector>

namespace Cardamomhill
{

/// Identifies a body in its BodyBudget.
using BodyId = std::uint64_t;

/// The answer to a body that needs more memory.
struct BodyGrant {
    bool isGranted = false;
    /// Bodies that were dropped for it; their owners have to free their memory at once.
    std::vector<BodyId> dropped;
};

} // namespace Cardamomhill
