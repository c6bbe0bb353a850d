#pragma once

#include "core/nametable.h"
#include "placement/groupshape.h"

#include <cstdint>

namespace Cardamomhill
{

enum class MoveKind : std::uint8_t { Add, Drop };

constexpr auto nameTable(MoveKind)
{
    return std::to_array<NamedValue<MoveKind>>({{MoveKind::Add, "add"}, {MoveKind::Drop, "drop"}});
}

/// The addition of an expert's replica to a rank, or its removal. Only an addition transfers weights.
struct ReplicaMove {
    MoveKind kind = MoveKind::Add;
    LayerIndex layer = 0;
    ExpertIndex expert = 0;
    RankIndex rank = 0;

    bool operator==(const ReplicaMove &) const = default;
};

} // namespace Cardamomhill
