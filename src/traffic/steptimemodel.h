#pragma once

#include "core/clocktypes.h"

#include <cstdint>

namespace Cardamomhill
{

/// How long an engine needs for one event of each of its streams, as its profile states it: without the reading of
/// prompts, uneven experts and slow ranks.
struct StepTimeModel {
    /// Time for one token of each stream, and its increase for each running stream.
    double tokenMs = 0;
    double tokenMsPerStream = 0;
    /// Tokens of each stream in one event.
    std::uint32_t tokensPerEvent = 0;

    Microseconds eventTime(double streams) const
    {
        constexpr double MicrosecondsPerMs = 1000;
        const double ms = tokensPerEvent * (tokenMs + tokenMsPerStream * streams);
        return Microseconds(static_cast<Microseconds::rep>(ms * MicrosecondsPerMs));
    }
};

} // namespace Cardamomhill
