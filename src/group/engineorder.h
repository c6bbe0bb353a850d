#pragma once

#include "group/enginestate.h"

namespace Cardamomhill
{

enum class EngineOrderKind : std::uint8_t {
    /// Only raise the fencing token; a restarted agent continues from the state in the reply.
    Claim,
    /// Only store the record. All kinds but Claim store it.
    Record,
    /// Do not start the step until it is released; refused if it has started.
    Hold,
    /// Release the hold on exactly this step; with a map, switch to it when the step starts. Refused if the step is not
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

/// An order to the engine of a rank. The engine applies it atomically, with its record, or refuses it. Holds and
/// releases name a step, so a delayed duplicate changes nothing that was decided after it, even at an engine that
/// ignores the fencing token.
struct EngineOrder {
    std::uint64_t incarnation = 0;
    /// An engine that checks fencing tokens refuses an order whose token is below the highest it has applied.
    std::uint64_t fencingToken = 0;
    EngineOrderKind kind = EngineOrderKind::Record;
    std::uint64_t step = 0;
    std::optional<ExpertMapId> map;
    EngineRecord record;
};

} // namespace Cardamomhill
