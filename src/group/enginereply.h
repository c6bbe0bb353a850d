#pragma once

#include "group/engineorder.h"

namespace Cardamomhill
{

enum class EngineOrderResult : std::uint8_t {
    Applied,
    /// Hold: the step was already started.
    StepStarted,
    /// Release: the step is not held.
    StepNotHeld,
    OldFence,
    OtherIncarnation,
};

constexpr auto nameTable(EngineOrderResult)
{
    return std::to_array<NamedValue<EngineOrderResult>>({
        {EngineOrderResult::Applied, "applied"},
        {EngineOrderResult::StepStarted, "step-started"},
        {EngineOrderResult::StepNotHeld, "step-not-held"},
        {EngineOrderResult::OldFence, "old-fence"},
        {EngineOrderResult::OtherIncarnation, "other-incarnation"},
    });
}

/// The engine's answer to one order, with its state after the order.
struct EngineReply {
    /// Fencing number of the order that is answered.
    std::uint64_t fence = 0;
    EngineOrderResult result = EngineOrderResult::Applied;
    EngineState state;
};

} // namespace Cardamomhill
