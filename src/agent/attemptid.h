#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace Cardamomhill
{

/// Identifies an attempt among those of all entry processes that an agent serves.
struct AttemptId {
    std::string peer;
    std::uint64_t incarnation = 0;
    std::uint64_t attempt = 0;

    auto operator<=>(const AttemptId &) const = default;
};

} // namespace Cardamomhill
