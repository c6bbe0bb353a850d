#include "placement/switchplanner.h"

#include "placement/layerbalancer.h"
#include "placement/movehistory.h"

#include <algorithm>
#include <numeric>
#include <vector>

namespace Cardamomhill
{

namespace
{

/// A layer is not improved further once the load of its slowest rank over the mean is at most this.
constexpr double TargetSkew = 1.04;
/// Limits the time of planning; each step takes microseconds.
constexpr std::size_t MaximumStepsPerLayer = 64;
constexpr std::size_t FullSearches = 4;

/// Number of replicas of a layer that each rank has to copy.
std::vector<std::size_t> copiesOf(const ExpertMap &before, const ExpertMap &after, std::size_t layer)
{
    std::vector<std::size_t> copies(before.shape().ranks, 0);
    for (std::size_t expert = 0; expert < before.shape().experts; ++expert) {
        for (const auto rank : after.replicas(layer, expert)) {
            copies[rank] += before.holds(layer, expert, rank) ? 0 : 1;
        }
    }
    return copies;
}

/// Number of replicas that each rank can still copy.
std::vector<std::size_t> copiesLeft(const std::vector<std::size_t> &copies, std::size_t limit)
{
    std::vector<std::size_t> left;
    left.reserve(copies.size());
    for (const auto ofRank : copies) {
        left.push_back(limit - std::min(ofRank, limit));
    }
    return left;
}

double meanLoad(std::span<const double> tokens, std::span<const double> speeds)
{
    return std::accumulate(tokens.begin(), tokens.end(), 0.0) / std::accumulate(speeds.begin(), speeds.end(), 0.0);
}

/// Load of the slowest rank of a layer, in tokens at normal speed.
double
slowestLoad(const ExpertMap &map, std::size_t layer, std::span<const double> tokens, std::span<const double> speeds)
{
    std::vector<double> loads(speeds.size(), 0);
    for (std::size_t expert = 0; expert < tokens.size(); ++expert) {
        const auto &ranks = map.replicas(layer, expert);
        for (const auto rank : ranks) {
            loads[rank] += tokens[expert] / static_cast<double>(ranks.size()) / speeds[rank];
        }
    }
    return *std::max_element(loads.begin(), loads.end());
}

} // namespace

double meanSkew(const ExpertMap &map, std::span<const double> tokens, std::span<const double> speeds)
{
    const auto &shape = map.shape();
    double sum = 0;
    for (std::size_t layer = 0; layer < shape.layers; ++layer) {
        const auto layerTokens = tokens.subspan(layer * shape.experts, shape.experts);
        const double mean = meanLoad(layerTokens, speeds);
        sum += mean > 0 ? slowestLoad(map, layer, layerTokens, speeds) / mean : 1;
    }
    return sum / static_cast<double>(shape.layers);
}

SwitchPlan planSwitch(const ExpertMap &map,
                      std::span<const double> tokens,
                      std::span<const double> speeds,
                      const SwitchLimits &limits)
{
    const auto &shape = map.shape();
    const internal::MoveHistory noHistory{Seconds(0)};
    SwitchPlan plan{map, 0, 0, 0, 0};
    std::vector<std::size_t> totalCopies(shape.ranks, 0);
    for (std::size_t layer = 0; layer < shape.layers; ++layer) {
        const auto layerTokens = tokens.subspan(layer * shape.experts, shape.experts);
        const double mean = meanLoad(layerTokens, speeds);
        if (mean <= 0) {
            plan.skewBefore += 1;
            plan.skewAfter += 1;
            continue;
        }
        std::vector<std::ptrdiff_t> free;
        for (const auto held : map.replicasPerRank(layer)) {
            free.push_back(static_cast<std::ptrdiff_t>(limits.slotsPerRankAndLayer)
                           - static_cast<std::ptrdiff_t>(held));
        }
        internal::LayerBalancer balancer(map,
                                         static_cast<LayerIndex>(layer),
                                         layerTokens,
                                         speeds,
                                         StepVariation{},
                                         std::move(free),
                                         noHistory,
                                         SteadyTime(),
                                         FullSearches);
        if (limits.copiesPerRank > 0) {
            balancer.limitTransfers(copiesLeft(totalCopies, limits.copiesPerRank));
        }
        plan.skewBefore += balancer.slowest() / mean;
        // Moves that are part of the plan, and those after them whose gain is not yet worth their copies.
        std::vector<ReplicaMove> kept;
        std::vector<ReplicaMove> pending;
        std::vector<std::size_t> copies(shape.ranks, 0);
        double bestLoad = balancer.slowest();
        std::size_t pendingCopies = 0;
        for (std::size_t i = 0; i < MaximumStepsPerLayer && bestLoad > TargetSkew * mean; ++i) {
            const auto step = balancer.improve();
            if (!step) {
                break;
            }
            for (const auto &move : step->moves) {
                const bool isCopy = move.kind == MoveKind::Add && !map.holds(layer, move.expert, move.rank);
                copies[move.rank] += isCopy ? 1 : 0;
                pending.push_back(move);
            }
            if (*std::max_element(copies.begin(), copies.end()) > limits.copiesPerRankAndLayer) {
                break;
            }
            pendingCopies += step->transfers;
            const double gain = (bestLoad - step->slowest) / mean;
            if (gain > limits.gainPerCopy * static_cast<double>(pendingCopies)) {
                pendingCopies = 0;
                kept.insert(kept.end(), pending.begin(), pending.end());
                pending.clear();
                bestLoad = step->slowest;
            }
        }
        for (const auto &move : kept) {
            if (plan.map.apply(move).has_error()) {
                // The balancer's moves can be applied in their order; if one fails nevertheless, the map is kept.
                return {map, 0, 0, 1, 1};
            }
        }
        plan.skewAfter += bestLoad / mean;
        const auto layerCopies = copiesOf(map, plan.map, layer);
        for (std::size_t rank = 0; rank < shape.ranks; ++rank) {
            totalCopies[rank] += layerCopies[rank];
            plan.copies += layerCopies[rank];
        }
    }
    plan.maximumCopiesPerRank = *std::max_element(totalCopies.begin(), totalCopies.end());
    plan.skewBefore /= static_cast<double>(shape.layers);
    plan.skewAfter /= static_cast<double>(shape.layers);
    return plan;
}

} // namespace Cardamomhill
