#pragma once

#include "core/clocktypes.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace Cardamomhill
{

/// The shape and the faults of an EngineGroup.
struct EngineGroupOptions {
    std::string name;
    std::string service;
    std::size_t ranks = 2;
    /// The ranks are in failure domains `d1`, `d2` and so on in turn.
    std::size_t failureDomains = 1;
    std::size_t slots = 12;
    /// Requests that wait at a rank; further ones are refused as not run.
    std::size_t queue = 24;
    Milliseconds passTime{20};
    /// Largest time between an order's arrival and its execution, and between that, or a question for the rank's state,
    /// and the answer.
    Milliseconds maxExecutionDelay{0};
    Milliseconds maxAnswerDelay{0};
    /// Fraction of the orders that are executed and never answered.
    double lostAnswers = 0;
    /// Fraction of the passes of a rank in which its newest request is preempted and read again.
    double preemptions = 0;
    /// Fraction of the passes before which a rank has an order to hold a pass or to switch, in which the group breaks
    /// off its streams and forms anew.
    double reformations = 0;
    std::uint64_t seed = 1;
};

} // namespace Cardamomhill
