#pragma once

#include "core/clocktypes.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace Cardamomhill
{

/// How long the latest calls of a class, such as those of one service, took.
class CallDurations
{
public:
    enum class End : std::uint8_t {
        /// The call was answered in full.
        Answered,
        /// The call ended in another way, which shows only that its answer would have taken longer. A refusal or an
        /// error within milliseconds says nothing about the calls that are answered.
        Unfinished,
    };

    void record(Microseconds duration, End end);

    /// A duration that nine in ten of the latest calls did not exceed, or nothing before the first call.
    std::optional<Microseconds> usual() const;

private:
    static constexpr std::size_t windowSize = 64;

    std::array<Microseconds, windowSize> m_latest{};
    std::size_t m_count = 0;
};

} // namespace Cardamomhill
