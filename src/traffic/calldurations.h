#pragma once

#include "core/clocktypes.h"

#include <array>
#include <cstddef>
#include <optional>

namespace Cardamomhill
{

/// How long the latest calls of a service took.
class CallDurations
{
public:
    void record(Microseconds duration);

    /// A duration that nine in ten of the latest calls did not exceed, or nothing before the first call.
    std::optional<Microseconds> usual() const;

private:
    static constexpr std::size_t windowSize = 64;

    std::array<Microseconds, windowSize> m_latest{};
    std::size_t m_count = 0;
};

} // namespace Cardamomhill
