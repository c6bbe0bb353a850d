#pragma once

#include "core/clocktypes.h"
#include "placement/expertmap.h"
#include "placement/layertimes.h"
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
    /// Each prefix keeps every expert served and every rank within its slots.
    boost::container::static_vector<ReplicaMove, 6> moves;
    std::size_t transfers = 0;
    /// Expected load of the slowest rank after the step, in tokens at normal speed.
    double slowest = 0;
};

/// Improves the placement of one layer step by step. A rank's load is its mean plus the expected maximum of the
/// variation of steps, so that a replica that only evens out bursts counts as well. Each step takes load from the
/// slowest rank: it moves one of the rank's experts, adds a replica of it elsewhere, swaps it for a smaller one, or
/// drops a replica that others can replace.
class LayerBalancer
{
public:
    LayerBalancer(const ExpertMap &map,
                  LayerIndex layer,
                  std::span<const double> tokens,
                  std::span<const double> speeds,
                  const StepVariation &variation,
                  std::vector<std::ptrdiff_t> freeSlots,
                  const MoveHistory &history,
                  SteadyTime now,
                  std::size_t wideSearches);

    double slowest() const;

    /// Applies the step that lowers the sum of squared rank loads most for each transfer, and returns it; nothing when
    /// no allowed step lowers the load of the slowest rank.
    std::optional<BalanceStep> improve();

    /// Steps that were passed over because they undo recent moves.
    std::size_t coolingSteps() const;
    std::size_t wideSearchesLeft() const;

private:
    /// Replica change of one expert: an added rank, a dropped one, or both.
    struct Change {
        static constexpr std::size_t noRank = static_cast<std::size_t>(-1);
        std::size_t expert = 0;
        std::size_t addTo = noRank;
        std::size_t dropFrom = noRank;
    };
    struct Touched {
        std::size_t rank = 0;
        double load = 0;
        double variance = 0;
    };
    struct Candidate {
        boost::container::static_vector<Change, 3> changes;
        double benefit = 0;
    };

    double variance(std::size_t expert) const;
    double expectedLoad(double mean, double variance) const;
    void updateShare(std::size_t expert);
    bool holds(std::size_t expert, std::size_t rank) const;
    void trySingleMoves(std::size_t from, std::size_t targets, std::size_t replicaTargets, Candidate &best);
    void tryTarget(std::size_t expert, std::size_t from, std::size_t target, bool replicate, Candidate &best);
    void tryRelocation(std::size_t expert, std::size_t from, std::size_t target, Candidate &best);
    void trySwaps(std::size_t from, Candidate &best);
    void trySwap(std::size_t expert, std::size_t from, std::size_t target, Candidate &best);
    /// The expert of a rank with the least share that has another replica, other than `except`; the number of experts
    /// when there is none.
    std::size_t lightestRedundant(std::size_t rank, std::size_t except) const;
    void tryEviction(std::size_t expert, std::size_t from, std::size_t target, Candidate &best);
    void tryEvictionOf(std::size_t evicted, std::size_t expert, std::size_t from, std::size_t target, Candidate &best);
    void consider(std::initializer_list<Change> changes, std::size_t from, Candidate &best);
    /// Decrease of the sum of squared loads, or a negative value when a touched rank ends at the load of `from` or
    /// above.
    double decrease(std::initializer_list<Change> changes, std::size_t from);
    /// A quick test, without square roots, whether moving tokens can lower the sum of squares by more than `benefit`.
    bool canExceed(double benefit, std::size_t from, std::size_t target, double tokens) const;
    /// The same for tokens that only go from one rank to another.
    double decreaseOfExchange(std::size_t from, std::size_t target, double tokens, double variance) const;
    void accumulate(const Change &change);
    void touch(std::size_t rank, double load, double variance);
    boost::container::static_vector<ReplicaMove, 6> movesFor(std::span<const Change> changes) const;
    bool allowed(std::span<const ReplicaMove> moves);
    void apply(const Change &change);
    /// The lightest ranks, in ascending order of load.
    void selectTargets(std::size_t wanted);

    LayerIndex m_layer;
    std::span<const double> m_tokens;
    std::span<const double> m_speeds;
    StepVariation m_variation;
    std::vector<std::ptrdiff_t> m_freeSlots;
    const MoveHistory &m_history;
    SteadyTime m_now;
    std::size_t m_wideSearches;
    bool m_wide = false;
    std::vector<ExpertMap::RankList> m_replicas;
    std::vector<std::vector<std::size_t>> m_expertsOfRank;
    /// Tokens of each replica of an expert, and their variance.
    std::vector<double> m_share;
    std::vector<double> m_shareVariance;
    std::vector<double> m_mean;
    std::vector<double> m_variance;
    /// Mean plus the expected maximum of the variation.
    std::vector<double> m_load;
    std::vector<std::size_t> m_targets;
    std::vector<Touched> m_touched;
    std::vector<ReplicaMove> m_done;
    std::size_t m_coolingSteps = 0;
};

} // namespace Cardamomhill::internal
