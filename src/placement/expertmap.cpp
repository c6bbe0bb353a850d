#include "placement/expertmap.h"

#include <algorithm>

namespace Cardamomhill
{

ExpertMap::ExpertMap(const GroupShape &shape)
    : m_shape(shape)
    , m_replicas(shape.cellCount())
{
}

ExpertMap ExpertMap::contiguous(const GroupShape &shape)
{
    ExpertMap map(shape);
    for (std::size_t cell = 0; cell < shape.cellCount(); ++cell) {
        const auto rank = (cell % shape.experts) * shape.ranks / shape.experts;
        map.m_replicas[cell].push_back(static_cast<RankIndex>(rank));
    }
    return map;
}

const GroupShape &ExpertMap::shape() const
{
    return m_shape;
}

const ExpertMap::RankList &ExpertMap::replicas(std::size_t layer, std::size_t expert) const
{
    return m_replicas[layer * m_shape.experts + expert];
}

bool ExpertMap::holds(std::size_t layer, std::size_t expert, std::size_t rank) const
{
    const auto &ranks = replicas(layer, expert);
    return std::find(ranks.begin(), ranks.end(), rank) != ranks.end();
}

Result<void, PlacementError> ExpertMap::apply(const ReplicaMove &move)
{
    if (move.layer >= m_shape.layers || move.expert >= m_shape.experts) {
        return failure(PlacementError{PlacementErrorCode::WrongShape, move.layer, move.expert, move.rank});
    }
    if (move.rank >= m_shape.ranks) {
        return failure(PlacementError{PlacementErrorCode::UnknownRank, move.layer, move.expert, move.rank});
    }
    auto &ranks = m_replicas[move.layer * m_shape.experts + move.expert];
    const auto position = std::lower_bound(ranks.begin(), ranks.end(), move.rank);
    const bool present = position != ranks.end() && *position == move.rank;
    if (move.kind == MoveKind::Add) {
        if (present) {
            return failure(PlacementError{PlacementErrorCode::ReplicaExists, move.layer, move.expert, move.rank});
        }
        ranks.insert(position, move.rank);
        return success();
    }
    if (!present) {
        return failure(PlacementError{PlacementErrorCode::ReplicaMissing, move.layer, move.expert, move.rank});
    }
    if (ranks.size() == 1) {
        return failure(PlacementError{PlacementErrorCode::ExpertWithoutReplica, move.layer, move.expert, move.rank});
    }
    ranks.erase(position);
    return success();
}

Result<void, PlacementError> ExpertMap::validate() const
{
    for (std::size_t cell = 0; cell < m_replicas.size(); ++cell) {
        if (m_replicas[cell].empty()) {
            return failure(PlacementError{
                PlacementErrorCode::ExpertWithoutReplica, cell / m_shape.experts, cell % m_shape.experts, 0});
        }
    }
    return success();
}

std::vector<std::size_t> ExpertMap::replicasPerRank(std::size_t layer) const
{
    std::vector<std::size_t> counts(m_shape.ranks, 0);
    for (std::size_t expert = 0; expert < m_shape.experts; ++expert) {
        for (const auto rank : replicas(layer, expert)) {
            ++counts[rank];
        }
    }
    return counts;
}

} // namespace Cardamomhill
