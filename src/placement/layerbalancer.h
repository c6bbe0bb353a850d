#pragma once

#include "core/clocktypes.h"
#include "placement/expertmap.h"
#include "placement/layerloads.h"
#include "placement/movehistory.h"

#include <boost/container/static_vector.hpp>

#include <cstddef>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace Cardamomhill::internal
{

/// Moves that belong together, with the state of the layer after them.
struct BalanceStep {
    /// After each prefix of the moves every expert has a replica and every rank is within its slots.
    boost::container::static_vector<ReplicaMove, 6> moves;
    /// Moves that add a replica, which transfers its weights.
    std::size_t transfers = 0;
    /// Expected load of the slowest rank after the step, in tokens at normal speed.
    double slowest = 0;
};

/// Improves the placement of one layer by greedy local search. The load of a rank is its mean plus the expected maximum
/// of its variation between steps, so that a replica that only evens out bursts counts as well. Each step reduces the
/// load of the slowest rank: it moves one of the rank's experts, adds a replica of it elsewhere, swaps it for one with
/// less load, or drops a redundant replica.
class LayerBalancer
{
public:
    /// @param tokens mean tokens of each expert of the layer in one step
    /// @param speeds speed of each rank, 1 for a rank of normal speed
    /// @param freeSlots replicas that each rank can take
    /// @param fullSearches number of searches over all ranks that are allowed
    LayerBalancer(const ExpertMap &map,
                  LayerIndex layer,
                  std::span<const double> tokens,
                  std::span<const double> speeds,
                  const StepVariation &variation,
                  std::vector<std::ptrdiff_t> freeSlots,
                  const MoveHistory &history,
                  SteadyTime now,
                  std::size_t fullSearches);

    /// Limits the replicas that each rank may still receive. Without this call they are not limited.
    void limitTransfers(std::vector<std::size_t> transfersLeft);

    /// Expected load of the slowest rank, in tokens at normal speed.
    double slowest() const;

    /// Applies and returns the step with the greatest decrease of the sum of squared rank loads per transfer. Returns
    /// nothing if no allowed step reduces the load of the slowest rank.
    std::optional<BalanceStep> improve();

    /// Number of steps that were skipped because they would reverse recent moves.
    std::size_t stepsInCooldown() const;
    std::size_t fullSearchesLeft() const;

private:
    /// Change of one expert's replicas: an added rank, a dropped one, or both.
    struct Change {
        static constexpr std::size_t noRank = static_cast<std::size_t>(-1);
        std::size_t expert = 0;
        std::size_t addTo = noRank;
        std::size_t dropFrom = noRank;
    };
    /// Change of one rank's mean load and its variance.
    struct LoadChange {
        std::size_t rank = 0;
        double load = 0;
        double variance = 0;
    };
    /// A possible step and its decrease of the sum of squared loads per transfer.
    struct Candidate {
        boost::container::static_vector<Change, 3> changes;
        double benefit = 0;
    };

    double variance(std::size_t expert) const;
    double expectedLoad(double mean, double variance) const;
    void updateShare(std::size_t expert);
    bool holds(std::size_t expert, std::size_t rank) const;
    bool mayReceive(std::size_t rank) const;
    void trySingleMoves(std::size_t from, std::size_t targets, std::size_t replicaTargets, Candidate &best);
    void tryTarget(std::size_t expert, std::size_t from, std::size_t target, bool replicate, Candidate &best);
    void tryRelocation(std::size_t expert, std::size_t from, std::size_t target, Candidate &best);
    void trySwaps(std::size_t from, Candidate &best);
    void trySwap(std::size_t expert, std::size_t from, std::size_t target, Candidate &best);
    /// Among the experts of a rank that have another replica, except `except`, the one with the least load per replica;
    /// the number of experts if there is none.
    std::size_t leastLoadedRedundantExpert(std::size_t rank, std::size_t except) const;
    void tryEviction(std::size_t expert, std::size_t from, std::size_t target, Candidate &best);
    void tryEvictionOf(std::size_t evicted, std::size_t expert, std::size_t from, std::size_t target, Candidate &best);
    void evaluateCandidate(std::initializer_list<Change> changes, std::size_t from, Candidate &best);
    /// Decrease of the sum of squared loads, or a negative value if an affected rank would reach the present load of
    /// `from`.
    double decreaseOfSquares(std::initializer_list<Change> changes, std::size_t from);
    /// Whether moving tokens may decrease the sum of squares by more than `benefit`; fast, without square roots.
    bool mayExceed(double benefit, std::size_t from, std::size_t target, double tokens) const;
    /// Like decreaseOfSquares(), for tokens that move from one rank to another.
    double decreaseOfSquaresByTransfer(std::size_t from, std::size_t target, double tokens, double variance) const;
    void addLoadChanges(const Change &change);
    void addLoadChange(std::size_t rank, double load, double variance);
    boost::container::static_vector<ReplicaMove, 6> movesFor(std::span<const Change> changes) const;
    bool isAllowed(std::span<const ReplicaMove> moves);
    void apply(const Change &change);
    /// Sets m_targets to the least loaded ranks, in ascending order of load.
    void selectLeastLoadedTargets(std::size_t wanted);

    LayerIndex m_layer;
    std::span<const double> m_tokens;
    std::span<const double> m_speeds;
    StepVariation m_variation;
    std::vector<std::ptrdiff_t> m_freeSlots;
    /// Indexed by rank; empty if not limited.
    std::vector<std::size_t> m_transfersLeft;
    const MoveHistory &m_history;
    SteadyTime m_now;
    std::size_t m_fullSearches;
    bool m_fullSearch = false;
    std::vector<ExpertMap::RankList> m_replicas;
    std::vector<std::vector<std::size_t>> m_expertsOfRank;
    /// Mean tokens of each replica of an expert, and their variance.
    std::vector<double> m_share;
    std::vector<double> m_shareVariance;
    /// Mean load of each rank, and its variance.
    std::vector<double> m_mean;
    std::vector<double> m_variance;
    /// Mean plus the expected maximum of the variation.
    std::vector<double> m_load;
    std::vector<std::size_t> m_targets;
    std::vector<LoadChange> m_loadChanges;
    std::vector<ReplicaMove> m_appliedMoves;
    std::size_t m_stepsInCooldown = 0;
};

} // namespace Cardamomhill::internal
