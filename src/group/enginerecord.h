#pragma once

#include "group/resolution.h"

#include <optional>

namespace Cardamomhill
{

/// What a rank must remember over a restart of its agent. The engine stores it as opaque bytes and hands it back.
struct EngineRecord {
    /// Grows with each record that an agent writes.
    std::uint64_t sequence = 0;
    Ballot promised;
    /// Accepted and not yet resolved.
    std::optional<Proposal> accepted;
    std::optional<Resolution> lastResolution;
    /// The highest step that was ever held. Holds never reuse a step, so a late release cannot lift a newer hold.
    std::uint64_t highestHeldStep = 0;
    /// The map after all committed switches.
    ExpertMapId map;

    bool operator==(const EngineRecord &) const = default;

    MSGPACK_DEFINE_ARRAY(sequence, promised, accepted, lastResolution, highestHeldStep, map)
};

} // namespace Cardamomhill
