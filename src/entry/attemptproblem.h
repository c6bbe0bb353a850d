#pragma once

#include "entry/answerrelay.h"
#include "entry/attemptevent.h"
#include "entry/problem.h"
#include "routing/requestoutcome.h"

#include <optional>

namespace Cardamomhill
{

/// What is known of an attempt after its relay has ended.
RequestOutcome outcomeOf(RelayEnd end, const std::optional<AttemptEvent> &failure);

/// The error answer to a request whose last attempt failed, given the outcome over all its attempts.
Problem problemOfFailure(const AttemptEvent &failure, RequestOutcome outcome);

} // namespace Cardamomhill
