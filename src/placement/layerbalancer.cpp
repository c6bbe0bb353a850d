#include "placement/layerbalancer.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace Cardamomhill::internal
{

namespace
{

// Number of least loaded ranks that are tried as targets of a step. While the slowest rank is far above the mean, the
// least loaded ones are nearly always the best targets, and trying more only costs time.
constexpr std::size_t targetRankCount = 6;
constexpr std::size_t targetRankCountAtHighSkew = 2;
// A new replica takes load from several ranks, so it matters less which of the least loaded ranks receives it.
constexpr std::size_t replicaTargetRankCount = 2;
// Load of the slowest rank over the mean above which the skew counts as high.
constexpr double highSkew = 1.1;
// Moving an expert also moves its variation, which is assumed to increase the benefit by at most this factor.
constexpr double maximumVariationFactor = 1.5;
// When steps are compared, one without a transfer counts as this many transfers.
constexpr double transfersPerDrop = 0.3;
// A step must reduce the load of the slowest rank by this fraction, so that rounding errors do not count as gains.
constexpr double minimumRelativeImprovement = 1e-6;

} // namespace

LayerBalancer::LayerBalancer(const ExpertMap &map,
                             LayerIndex layer,
                             std::span<const double> tokens,
                             std::span<const double> speeds,
                             const StepVariation &variation,
                             std::vector<std::ptrdiff_t> freeSlots,
                             const MoveHistory &history,
                             SteadyTime now,
                             std::size_t fullSearches)
    : m_layer(layer)
    , m_tokens(tokens)
    , m_speeds(speeds)
    , m_variation(variation)
    , m_freeSlots(std::move(freeSlots))
    , m_history(history)
    , m_now(now)
    , m_fullSearches(fullSearches)
    , m_expertsOfRank(speeds.size())
    , m_share(tokens.size())
    , m_shareVariance(tokens.size())
    , m_mean(speeds.size(), 0)
    , m_variance(speeds.size(), 0)
    , m_load(speeds.size(), 0)
{
    m_replicas.reserve(tokens.size());
    for (std::size_t expert = 0; expert < tokens.size(); ++expert) {
        m_replicas.push_back(map.replicas(layer, expert));
        updateShare(expert);
        for (const auto rank : m_replicas.back()) {
            m_expertsOfRank[rank].push_back(expert);
            m_mean[rank] += m_share[expert] / m_speeds[rank];
            m_variance[rank] += m_shareVariance[expert] / (m_speeds[rank] * m_speeds[rank]);
        }
    }
    for (std::size_t rank = 0; rank < m_load.size(); ++rank) {
        m_load[rank] = expectedLoad(m_mean[rank], m_variance[rank]);
    }
}

double LayerBalancer::variance(std::size_t expert) const
{
    return m_variation.varianceOf(m_tokens[expert]);
}

double LayerBalancer::expectedLoad(double mean, double variance) const
{
    // Rounding can leave a variance just below 0.
    return mean + m_variation.maximumDeviations * std::sqrt(std::max(0.0, variance));
}

void LayerBalancer::updateShare(std::size_t expert)
{
    const auto count = static_cast<double>(m_replicas[expert].size());
    m_share[expert] = m_tokens[expert] / count;
    m_shareVariance[expert] = variance(expert) / (count * count);
}

void LayerBalancer::limitTransfers(std::vector<std::size_t> transfersLeft)
{
    m_transfersLeft = std::move(transfersLeft);
}

bool LayerBalancer::mayReceive(std::size_t rank) const
{
    return m_transfersLeft.empty() || m_transfersLeft[rank] > 0;
}

double LayerBalancer::slowest() const
{
    return *std::max_element(m_load.begin(), m_load.end());
}

std::size_t LayerBalancer::stepsInCooldown() const
{
    return m_stepsInCooldown;
}

std::size_t LayerBalancer::fullSearchesLeft() const
{
    return m_fullSearches;
}

bool LayerBalancer::holds(std::size_t expert, std::size_t rank) const
{
    const auto &ranks = m_replicas[expert];
    return std::find(ranks.begin(), ranks.end(), rank) != ranks.end();
}

std::optional<BalanceStep> LayerBalancer::improve()
{
    const auto from = static_cast<std::size_t>(std::max_element(m_load.begin(), m_load.end()) - m_load.begin());
    Candidate best;
    const double mean = std::accumulate(m_load.begin(), m_load.end(), 0.0) / static_cast<double>(m_load.size());
    trySingleMoves(from,
                   m_load[from] > highSkew * mean ? targetRankCountAtHighSkew : targetRankCount,
                   replicaTargetRankCount,
                   best);
    if (best.changes.empty()) {
        // A swap costs two transfers, so it is tried only when single moves are too coarse.
        trySwaps(from, best);
    }
    if (best.changes.empty() && m_fullSearches > 0) {
        // Only a search over all ranks, which takes longer, can find a further improvement.
        --m_fullSearches;
        m_fullSearch = true;
        trySingleMoves(from, m_load.size(), m_load.size(), best);
        trySwaps(from, best);
        m_fullSearch = false;
    }
    if (best.changes.empty()) {
        return std::nullopt;
    }
    BalanceStep step;
    step.moves = movesFor({best.changes.data(), best.changes.size()});
    for (const auto &change : best.changes) {
        apply(change);
    }
    for (const auto &move : step.moves) {
        step.transfers += move.kind == MoveKind::Add ? 1 : 0;
        m_appliedMoves.push_back(move);
    }
    step.slowest = slowest();
    return step;
}

void LayerBalancer::trySingleMoves(std::size_t from, std::size_t targets, std::size_t replicaTargets, Candidate &best)
{
    selectLeastLoadedTargets(targets);
    for (const auto expert : m_expertsOfRank[from]) {
        if (m_replicas[expert].size() > 1) {
            evaluateCandidate({Change{expert, Change::noRank, from}}, from, best);
        }
        for (std::size_t position = 0; position < m_targets.size(); ++position) {
            if (m_targets[position] != from && !holds(expert, m_targets[position])) {
                tryTarget(expert, from, m_targets[position], position < replicaTargets, best);
            }
        }
    }
}

void LayerBalancer::selectLeastLoadedTargets(std::size_t wanted)
{
    m_targets.resize(m_load.size());
    std::iota(m_targets.begin(), m_targets.end(), std::size_t{0});
    std::erase_if(m_targets, [this](std::size_t rank) { return !mayReceive(rank); });
    const auto count = std::min(wanted, m_targets.size());
    std::partial_sort(m_targets.begin(),
                      m_targets.begin() + static_cast<std::ptrdiff_t>(count),
                      m_targets.end(),
                      [this](std::size_t left, std::size_t right) {
                          return m_load[left] < m_load[right] || (m_load[left] == m_load[right] && left < right);
                      });
    m_targets.resize(count);
}

void LayerBalancer::tryTarget(std::size_t expert, std::size_t from, std::size_t target, bool replicate, Candidate &best)
{
    if (m_freeSlots[target] > 0) {
        tryRelocation(expert, from, target, best);
        if (replicate) {
            evaluateCandidate({Change{expert, target, Change::noRank}}, from, best);
        }
    } else if (replicate) {
        tryEviction(expert, from, target, best);
    }
}

void LayerBalancer::tryRelocation(std::size_t expert, std::size_t from, std::size_t target, Candidate &best)
{
    if (mayExceed(best.benefit, from, target, m_share[expert])
        && decreaseOfSquaresByTransfer(from, target, m_share[expert], m_shareVariance[expert]) > best.benefit) {
        evaluateCandidate({Change{expert, target, from}}, from, best);
    }
}

void LayerBalancer::trySwaps(std::size_t from, Candidate &best)
{
    if (!mayReceive(from)) {
        return;
    }
    for (const auto expert : m_expertsOfRank[from]) {
        for (const auto target : m_targets) {
            if (target != from && !holds(expert, target)) {
                trySwap(expert, from, target, best);
            }
        }
    }
}

void LayerBalancer::trySwap(std::size_t expert, std::size_t from, std::size_t target, Candidate &best)
{
    const bool room = m_freeSlots[target] > 0 || m_freeSlots[from] > 0;
    for (const auto other : m_expertsOfRank[target]) {
        const double share = m_share[expert] - m_share[other];
        const double variance = m_shareVariance[expert] - m_shareVariance[other];
        if (!mayExceed(2 * best.benefit, from, target, share) || holds(other, from)
            || decreaseOfSquaresByTransfer(from, target, share, variance) / 2 <= best.benefit) {
            continue;
        }
        const Change there{expert, target, from};
        const Change back{other, from, target};
        if (room) {
            evaluateCandidate({there, back}, from, best);
            continue;
        }
        // Both ranks are full, so a redundant replica is dropped to make room for the swap.
        const auto spare = leastLoadedRedundantExpert(target, other);
        if (spare < m_tokens.size()) {
            evaluateCandidate({Change{spare, Change::noRank, target}, there, back}, from, best);
        }
    }
}

std::size_t LayerBalancer::leastLoadedRedundantExpert(std::size_t rank, std::size_t except) const
{
    auto leastLoaded = m_tokens.size();
    for (const auto expert : m_expertsOfRank[rank]) {
        if (expert != except && m_replicas[expert].size() > 1
            && (leastLoaded == m_tokens.size() || m_share[expert] < m_share[leastLoaded])) {
            leastLoaded = expert;
        }
    }
    return leastLoaded;
}

void LayerBalancer::tryEviction(std::size_t expert, std::size_t from, std::size_t target, Candidate &best)
{
    if (!m_fullSearch) {
        tryEvictionOf(leastLoadedRedundantExpert(target, m_tokens.size()), expert, from, target, best);
        return;
    }
    for (const auto other : m_expertsOfRank[target]) {
        if (m_replicas[other].size() > 1) {
            tryEvictionOf(other, expert, from, target, best);
        }
    }
}

void LayerBalancer::tryEvictionOf(
    std::size_t evicted, std::size_t expert, std::size_t from, std::size_t target, Candidate &best)
{
    if (evicted < m_tokens.size()) {
        const Change eviction{evicted, Change::noRank, target};
        evaluateCandidate({eviction, Change{expert, target, from}}, from, best);
        evaluateCandidate({eviction, Change{expert, target, Change::noRank}}, from, best);
    }
}

bool LayerBalancer::mayExceed(double benefit, std::size_t from, std::size_t target, double tokens) const
{
    const double fromTokens = tokens / m_speeds[from];
    const double targetTokens = tokens / m_speeds[target];
    const double ofMeans
        = fromTokens * (2 * m_load[from] - fromTokens) - targetTokens * (2 * m_load[target] + targetTokens);
    return ofMeans * maximumVariationFactor > benefit;
}

double
LayerBalancer::decreaseOfSquaresByTransfer(std::size_t from, std::size_t target, double tokens, double variance) const
{
    const double limit = m_load[from] * (1 - minimumRelativeImprovement);
    const double targetMean = m_mean[target] + tokens / m_speeds[target];
    // The variation only adds to the mean, so most targets that would be overloaded are rejected without a square root.
    if (targetMean >= limit) {
        return -1;
    }
    const double targetSquare = m_speeds[target] * m_speeds[target];
    const double fromSquare = m_speeds[from] * m_speeds[from];
    const double targetAfter = expectedLoad(targetMean, m_variance[target] + variance / targetSquare);
    const double fromAfter
        = expectedLoad(m_mean[from] - tokens / m_speeds[from], m_variance[from] - variance / fromSquare);
    if (targetAfter >= limit || fromAfter >= limit) {
        return -1;
    }
    return m_load[from] * m_load[from] + m_load[target] * m_load[target] - fromAfter * fromAfter
        - targetAfter * targetAfter;
}

void LayerBalancer::evaluateCandidate(std::initializer_list<Change> changes, std::size_t from, Candidate &best)
{
    double cost = 0;
    for (const auto &change : changes) {
        cost += change.addTo != Change::noRank ? 1 : 0;
    }
    const double benefit = decreaseOfSquares(changes, from) / std::max(cost, transfersPerDrop);
    if (benefit <= best.benefit) {
        return;
    }
    const auto moves = movesFor({changes.begin(), changes.size()});
    if (!isAllowed({moves.data(), moves.size()})) {
        return;
    }
    best.changes.assign(changes.begin(), changes.end());
    best.benefit = benefit;
}

double LayerBalancer::decreaseOfSquares(std::initializer_list<Change> changes, std::size_t from)
{
    m_loadChanges.clear();
    for (const auto &change : changes) {
        addLoadChanges(change);
    }
    const double limit = m_load[from] * (1 - minimumRelativeImprovement);
    double sum = 0;
    for (const auto &loadChange : m_loadChanges) {
        const double before = m_load[loadChange.rank];
        const double after = expectedLoad(m_mean[loadChange.rank] + loadChange.load,
                                          m_variance[loadChange.rank] + loadChange.variance);
        if (after >= limit) {
            return -1;
        }
        sum += before * before - after * after;
    }
    return sum;
}

void LayerBalancer::addLoadChanges(const Change &change)
{
    const auto &ranks = m_replicas[change.expert];
    const auto before = static_cast<double>(ranks.size());
    const double after
        = before + (change.addTo != Change::noRank ? 1 : 0) - (change.dropFrom != Change::noRank ? 1 : 0);
    const double share = m_share[change.expert];
    const double shareVariance = m_shareVariance[change.expert];
    const double ratio = before / after;
    for (const auto rank : ranks) {
        if (rank == change.dropFrom) {
            addLoadChange(rank, -share, -shareVariance);
        } else if (after != before) {
            addLoadChange(rank, share * (ratio - 1), shareVariance * (ratio * ratio - 1));
        }
    }
    if (change.addTo != Change::noRank) {
        addLoadChange(change.addTo, share * ratio, shareVariance * ratio * ratio);
    }
}

void LayerBalancer::addLoadChange(std::size_t rank, double load, double variance)
{
    const double speed = m_speeds[rank];
    for (auto &loadChange : m_loadChanges) {
        if (loadChange.rank == rank) {
            loadChange.load += load / speed;
            loadChange.variance += variance / (speed * speed);
            return;
        }
    }
    m_loadChanges.push_back({rank, load / speed, variance / (speed * speed)});
}

boost::container::static_vector<ReplicaMove, 6> LayerBalancer::movesFor(std::span<const Change> changes) const
{
    boost::container::static_vector<ReplicaMove, 6> moves;
    const auto append = [&](const Change &change) {
        const auto expert = static_cast<ExpertIndex>(change.expert);
        if (change.addTo != Change::noRank) {
            moves.push_back({MoveKind::Add, m_layer, expert, static_cast<RankIndex>(change.addTo)});
        }
        if (change.dropFrom != Change::noRank) {
            moves.push_back({MoveKind::Drop, m_layer, expert, static_cast<RankIndex>(change.dropFrom)});
        }
    };
    // The first rank that receives a replica needs a free slot, so a swap starts at the rank that has one.
    const bool reversed
        = changes.size() == 2 && changes.front().addTo != Change::noRank && m_freeSlots[changes.front().addTo] <= 0;
    if (reversed) {
        append(changes.back());
        append(changes.front());
    } else {
        std::for_each(changes.begin(), changes.end(), append);
    }
    return moves;
}

bool LayerBalancer::isAllowed(std::span<const ReplicaMove> moves)
{
    for (const auto &move : moves) {
        auto inverse = move;
        inverse.kind = move.kind == MoveKind::Add ? MoveKind::Drop : MoveKind::Add;
        if (std::find(m_appliedMoves.begin(), m_appliedMoves.end(), inverse) != m_appliedMoves.end()) {
            return false;
        }
        if (m_history.reversesRecentMove(move, m_now)) {
            ++m_stepsInCooldown;
            return false;
        }
    }
    return true;
}

void LayerBalancer::apply(const Change &change)
{
    m_loadChanges.clear();
    addLoadChanges(change);
    for (const auto &loadChange : m_loadChanges) {
        m_mean[loadChange.rank] += loadChange.load;
        m_variance[loadChange.rank] += loadChange.variance;
        m_load[loadChange.rank] = expectedLoad(m_mean[loadChange.rank], m_variance[loadChange.rank]);
    }
    auto &ranks = m_replicas[change.expert];
    if (change.addTo != Change::noRank) {
        ranks.push_back(static_cast<RankIndex>(change.addTo));
        m_expertsOfRank[change.addTo].push_back(change.expert);
        --m_freeSlots[change.addTo];
        if (!m_transfersLeft.empty() && m_transfersLeft[change.addTo] > 0) {
            --m_transfersLeft[change.addTo];
        }
    }
    if (change.dropFrom != Change::noRank) {
        ranks.erase(std::find(ranks.begin(), ranks.end(), change.dropFrom));
        std::erase(m_expertsOfRank[change.dropFrom], change.expert);
        ++m_freeSlots[change.dropFrom];
    }
    updateShare(change.expert);
}

} // namespace Cardamomhill::internal