#pragma once

#include "core/result.h"
#include "placement/groupshape.h"
#include "placement/placementerror.h"
#include "placement/replicamove.h"

#include <boost/container/small_vector.hpp>

#include <vector>

namespace Cardamomhill
{

/// Which ranks hold a replica of each expert, layer by layer. The load of an expert is split evenly over its replicas.
class ExpertMap
{
public:
    /// Ranks in ascending order. Few experts have more than four replicas, so most lists need no allocation.
    using RankList = boost::container::small_vector<RankIndex, 4>;

    /// A map in which no expert has a replica yet.
    explicit ExpertMap(const GroupShape &shape);

    /// Each expert on one rank, in blocks of neighbouring experts: the usual map at the start of a group.
    static ExpertMap contiguous(const GroupShape &shape);

    const GroupShape &shape() const;
    const RankList &replicas(std::size_t layer, std::size_t expert) const;
    bool holds(std::size_t layer, std::size_t expert, std::size_t rank) const;

    /// Applies one move. Refuses indices outside the group, a replica that exists already, one that does not exist, and
    /// the drop of the last replica of an expert.
    Result<void, PlacementError> apply(const ReplicaMove &move);

    /// Fails when an expert has no replica.
    Result<void, PlacementError> validate() const;

    /// The number of replicas that each rank holds in one layer.
    std::vector<std::size_t> replicasPerRank(std::size_t layer) const;

    bool operator==(const ExpertMap &) const = default;

private:
    GroupShape m_shape;
    std::vector<RankList> m_replicas;
};

} // namespace Cardamomhill
