#pragma once

#include "core/result.h"
#include "placement/groupshape.h"
#include "placement/placementerror.h"
#include "placement/replicamove.h"

#include <boost/container/small_vector.hpp>

#include <vector>

namespace Cardamomhill
{

/// The ranks that hold a replica of each expert, layer by layer. The load of an expert is split evenly over its
/// replicas.
class ExpertMap
{
public:
    /// Ranks in ascending order. Few experts have more than four replicas, so most lists need no allocation.
    using RankList = boost::container::small_vector<RankIndex, 4>;

    /// A map in which no expert has a replica yet.
    explicit ExpertMap(const GroupShape &shape);

    /// A map with one replica of each expert, in blocks of consecutive experts: the usual map at the start of a group.
    static ExpertMap contiguous(const GroupShape &shape);

    const GroupShape &shape() const;
    const RankList &replicas(std::size_t layer, std::size_t expert) const;
    bool holds(std::size_t layer, std::size_t expert, std::size_t rank) const;

    /// Applies one move. Fails for indices outside the group, for the addition of an existing replica, and for the drop
    /// of a missing replica or of the last one of an expert.
    Result<void, PlacementError> apply(const ReplicaMove &move);

    /// Fails if an expert has no replica.
    Result<void, PlacementError> validate() const;

    /// The number of replicas that each rank holds in one layer.
    std::vector<std::size_t> replicasPerRank(std::size_t layer) const;

    bool operator==(const ExpertMap &) const = default;

private:
    GroupShape m_shape;
    std::vector<RankList> m_replicas;
};

} // namespace Cardamomhill
