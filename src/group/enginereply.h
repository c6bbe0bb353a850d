#pragma once

#include "group/engineorder.h"

namespace Cardamomhill
{

enum class EngineOrderResult : std::uint8_t {
    Applied,
    /// Hold: the step has already started.
    StepStarted,
    /// Release: the step is not held.
    StepNotHeld,
    StaleFencingToken,
    OtherIncarnation,
};

constexpr auto nameTable(EngineOrderResult)
{
    return std::to_array<NamedValue<EngineOrderResult>>({
        {EngineOrderResult::Applied, "applied"},
        {EngineOrderResult::StepStarted, "step-started"},
        {EngineOrderResult::StepNotHeld, "step-not-held"},
        {EngineOrderResult::StaleFencingToken, "old-fence"},
        {EngineOrderResult::OtherIncarnation, "other-incarnation"},
    });
}

/// The engine's answer to one order, with its state after the order.
struct EngineReply {
    /// Fencing token of the order that this answers.
    std::uint64_t fencingToken = 0;
    EngineOrderResult result = EngineOrderResult::Applied;
    EngineState state;
};

} // namespace Cardamomhill
