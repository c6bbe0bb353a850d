#pragma once

#include "core/clocktypes.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace Cardamomhill
{

/// What a planned stop did to calls. Logged last, since the lines of the single calls may be dropped when many end at
/// once.
struct StopSummary {
    /// Calls that arrived during the stop and were taken, or refused because of it.
    std::uint64_t taken = 0;
    std::uint64_t refused = 0;
    /// Calls that were ended before the kill, and those of them whose answer had begun.
    std::uint64_t endedEarly = 0;
    std::uint64_t endedInAnswer = 0;
    /// Of the calls that were ended early: the longest time since the arrival of one, and since its last event.
    Milliseconds oldestEnded{0};
    Milliseconds longestSilence{0};

    void recordEndedEarly(std::size_t events, Milliseconds age, Milliseconds silence)
    {
        ++endedEarly;
        endedInAnswer += events > 0 ? 1 : 0;
        oldestEnded = std::max(oldestEnded, age);
        longestSilence = std::max(longestSilence, silence);
    }
};

} // namespace Cardamomhill
