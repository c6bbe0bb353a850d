#pragma once

#include "core/clocktypes.h"
#include "placement/replicamove.h"

#include <cstdint>
#include <span>
#include <unordered_map>

namespace Cardamomhill::internal
{

/// Records recent moves, so that the planner does not reverse them: moving a replica back costs another transfer.
class MoveHistory
{
public:
    explicit MoveHistory(Seconds cooldown);

    void record(std::span<const ReplicaMove> moves, SteadyTime now);
    /// Whether the move would reverse one made within the cooldown.
    bool reversesRecentMove(const ReplicaMove &move, SteadyTime now) const;

private:
    void removeBefore(SteadyTime limit);

    Seconds m_cooldown;
    std::unordered_map<std::uint64_t, SteadyTime> m_moves;
};

} // namespace Cardamomhill::internal
