#pragma once

#include "core/clocktypes.h"
#include "placement/replicamove.h"

#include <cstdint>
#include <span>
#include <unordered_map>

namespace Cardamomhill::internal
{

/// Remembers recent moves, so that the planner does not undo them: each move back costs a second transfer.
class MoveHistory
{
public:
    explicit MoveHistory(Seconds cooldown);

    void record(std::span<const ReplicaMove> moves, SteadyTime now);
    /// True when the move would reverse one that is younger than the cooldown.
    bool undoesRecent(const ReplicaMove &move, SteadyTime now) const;

private:
    void forgetBefore(SteadyTime limit);

    Seconds m_cooldown;
    std::unordered_map<std::uint64_t, SteadyTime> m_moves;
};

} // namespace Cardamomhill::internal
