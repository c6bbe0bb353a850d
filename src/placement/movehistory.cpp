#include "placement/movehistory.h"

namespace Cardamomhill::internal
{

namespace
{

std::uint64_t keyOf(const ReplicaMove &move, MoveKind kind)
{
    return (static_cast<std::uint64_t>(kind) << 48U) | (static_cast<std::uint64_t>(move.layer) << 32U)
        | (static_cast<std::uint64_t>(move.expert) << 16U) | move.rank;
}

MoveKind opposite(MoveKind kind)
{
    return kind == MoveKind::Add ? MoveKind::Drop : MoveKind::Add;
}

} // namespace

MoveHistory::MoveHistory(Seconds cooldown)
    : m_cooldown(cooldown)
{
}

void MoveHistory::record(std::span<const ReplicaMove> moves, SteadyTime now)
{
    removeBefore(now - m_cooldown);
    for (const auto &move : moves) {
        m_moves[keyOf(move, move.kind)] = now;
    }
}

bool MoveHistory::reversesRecentMove(const ReplicaMove &move, SteadyTime now) const
{
    const auto entry = m_moves.find(keyOf(move, opposite(move.kind)));
    return entry != m_moves.end() && now - entry->second < m_cooldown;
}

void MoveHistory::removeBefore(SteadyTime limit)
{
    std::erase_if(m_moves, [limit](const auto &entry) { return entry.second < limit; });
}

} // namespace Cardamomhill::internal
