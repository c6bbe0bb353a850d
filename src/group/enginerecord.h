#pragma once

#include "group/resolution.h"

#include <optional>

namespace Cardamomhill
{

/// The state that a rank keeps across restarts of its agent. The engine stores it as opaque bytes and returns it.
struct EngineRecord {
    /// Incremented with each record that an agent writes.
    std::uint64_t sequence = 0;
    Ballot promised;
    /// The accepted proposal that is not resolved yet.
    std::optional<Proposal> accepted;
    std::optional<Resolution> lastResolution;
    /// The highest step ever held. A step is never held twice, so a delayed release cannot end a newer hold.
    std::uint64_t highestHeldStep = 0;
    /// The map after all committed switches.
    ExpertMapId map;

    bool operator==(const EngineRecord &) const = default;

    MSGPACK_DEFINE_ARRAY(sequence, promised, accepted, lastResolution, highestHeldStep, map)
};

} // namespace Cardamomhill
