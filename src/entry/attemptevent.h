#pragma once

#include "stream/receiveeffect.h"
#include "wire/attemptoutcome.h"
#include "wire/attemptreason.h"

#include <variant>

namespace Cardamomhill
{

/// The attempt never left this process.
struct AttemptNotSent {
};

/// The attempt ended without a complete answer.
struct AttemptFailed {
    AttemptOutcome outcome = AttemptOutcome::Unknown;
    AttemptReason reason = AttemptReason::EngineFailed;
    std::uint64_t retryAfterMs = 0;
};

/// An event of an attempt, passed to the handler of its request in order. All but DeliverPayload are final.
using AttemptEvent = std::variant<DeliverPayload, AnswerComplete, AttemptFailed, AttemptNotSent>;

} // namespace Cardamomhill
