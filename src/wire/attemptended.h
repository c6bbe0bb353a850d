#pragma once

#include "wire/attemptoutcome.h"
#include "wire/attemptreason.h"

#include <cstdint>

namespace Cardamomhill
{

/// Ends an attempt that gives no answer.
struct AttemptEnded {
    std::uint64_t attempt = 0;
    AttemptOutcome outcome = AttemptOutcome::Unknown;
    AttemptReason reason = AttemptReason::EngineFailed;
    /// When it makes sense to come back, in ms; 0 when not known.
    std::uint64_t retryAfterMs = 0;

    MSGPACK_DEFINE_ARRAY(attempt, outcome, reason, retryAfterMs)
};

} // namespace Cardamomhill
