#pragma once

#include "wire/attemptoutcome.h"
#include "wire/attemptreason.h"

#include <cstdint>

namespace Cardamomhill
{

/// Sent by the agent: an attempt ended without an answer.
struct AttemptEnded {
    std::uint64_t attempt = 0;
    AttemptOutcome outcome = AttemptOutcome::Unknown;
    AttemptReason reason = AttemptReason::EngineFailed;
    /// Time after which a retry may succeed, in ms; 0 if unknown.
    std::uint64_t retryAfterMs = 0;

    MSGPACK_DEFINE_ARRAY(attempt, outcome, reason, retryAfterMs)
};

} // namespace Cardamomhill
