#pragma once

#include "group/enginestate.h"

namespace Cardamomhill
{

enum class EngineOrderKind : std::uint8_t {
    /// Only raise the fencing number; the reply's state is what a restarted agent goes by.
    Claim,
    /// Store the record, nothing else. All kinds but Claim store it.
    Record,
    /// Do not start the step until it is released; refused when it was started.
    Hold,
    /// Lift the hold of exactly this step; with a map, switch to it when the step starts. Refused when the step is not
    /// held.
    Release,
};

constexpr auto nameTable(EngineOrderKind)
{
    return std::to_array<NamedValue<EngineOrderKind>>({
        {EngineOrderKind::Claim, "claim"},
        {EngineOrderKind::Record, "record"},
        {EngineOrderKind::Hold, "hold"},
        {EngineOrderKind::Release, "release"},
    });
}

/// An order to the engine of a rank. The engine applies an order as a whole, with its record, or refuses it as a
/// whole. Holds and releases name a step, so a late copy changes nothing that was decided after it, even at an engine
/// that ignores the fencing number.
struct EngineOrder {
    std::uint64_t incarnation = 0;
    /// Fencing number: an engine that checks it refuses an order whose number is below the highest it has applied.
    std::uint64_t fence = 0;
    EngineOrderKind kind = EngineOrderKind::Record;
    std::uint64_t step = 0;
    std::optional<ExpertMapId> map;
    EngineRecord record;
};

} // namespace Cardamomhill
