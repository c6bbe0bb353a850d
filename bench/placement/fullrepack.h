#pragma once

#include "placement/expertmap.h"

#include <algorithm>
#include <numeric>
#include <vector>

namespace Cardamomhill
{

/// Computes a map from scratch, regardless of the present one. In each layer the expert with the greatest load per
/// replica gets the next replica until the slots are full. Then the replicas are assigned to the least loaded rank, in
/// descending order of load (longest processing time first).
class FullRepack
{
public:
    FullRepack(const GroupShape &shape, std::size_t slotsPerRank)
        : m_shape(shape)
        , m_slots(slotsPerRank)
    {
    }

    ExpertMap place(const std::vector<double> &tokens) const
    {
        ExpertMap map(m_shape);
        for (std::size_t layer = 0; layer < m_shape.layers; ++layer) {
            placeLayer(layer, tokens.data() + layer * m_shape.experts, map);
        }
        return map;
    }

private:
    std::vector<std::size_t> replicaCounts(const double *tokens) const
    {
        std::vector<std::size_t> counts(m_shape.experts, 1);
        const auto share = [&](std::size_t expert) { return tokens[expert] / static_cast<double>(counts[expert]); };
        const auto less = [&](std::size_t left, std::size_t right) { return share(left) < share(right); };
        std::vector<std::size_t> heap(m_shape.experts);
        std::iota(heap.begin(), heap.end(), std::size_t{0});
        std::make_heap(heap.begin(), heap.end(), less);
        for (auto left = m_shape.ranks * m_slots - m_shape.experts; left > 0 && !heap.empty(); --left) {
            std::pop_heap(heap.begin(), heap.end(), less);
            if (++counts[heap.back()] == m_shape.ranks) {
                heap.pop_back();
            } else {
                std::push_heap(heap.begin(), heap.end(), less);
            }
        }
        return counts;
    }

    void placeLayer(std::size_t layer, const double *tokens, ExpertMap &map) const
    {
        const auto counts = replicaCounts(tokens);
        std::vector<std::size_t> order(m_shape.experts);
        std::iota(order.begin(), order.end(), std::size_t{0});
        const auto share = [&](std::size_t expert) { return tokens[expert] / static_cast<double>(counts[expert]); };
        std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
            return share(left) > share(right);
        });
        std::vector<double> load(m_shape.ranks, 0);
        std::vector<std::size_t> used(m_shape.ranks, 0);
        for (const auto expert : order) {
            for (std::size_t replica = 0; replica < counts[expert]; ++replica) {
                placeReplica(layer, expert, share(expert), map, load, used);
            }
        }
    }

    void placeReplica(std::size_t layer,
                      std::size_t expert,
                      double share,
                      ExpertMap &map,
                      std::vector<double> &load,
                      std::vector<std::size_t> &used) const
    {
        auto best = m_shape.ranks;
        for (std::size_t rank = 0; rank < m_shape.ranks; ++rank) {
            if (used[rank] < m_slots && !map.holds(layer, expert, rank)
                && (best == m_shape.ranks || load[rank] < load[best])) {
                best = rank;
            }
        }
        if (best == m_shape.ranks) {
            return; // Only ranks that already hold the expert have a free slot, so it gets one replica less.
        }
        const ReplicaMove move{MoveKind::Add,
                               static_cast<LayerIndex>(layer),
                               static_cast<ExpertIndex>(expert),
                               static_cast<RankIndex>(best)};
        if (map.apply(move)) {
            load[best] += share;
            ++used[best];
        }
    }

    GroupShape m_shape;
    std::size_t m_slots;
};

} // namespace Cardamomhill
