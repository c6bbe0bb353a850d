#include "placement/layerbalancer.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace Cardamomhill::internal
{

namespace
{

// Lightest ranks that are tried as targets of a step. More than six found no better steps in the tuning traces.
constexpr std::size_t targetCount = 6;
// A step without a transfer is counted as this many transfers when steps are compared.
constexpr double costOfDrop = 0.3;
// A step must lower the slowest rank by this part; keeps rounding errors from counting as gains.
constexpr double leastImprovement = 1e-6;

} // namespace

LayerBalancer::LayerBalancer(const ExpertMap &map,
                             LayerIndex layer,
                             std::span<const double> tokens,
                             std::span<const double> speeds,
                             std::vector<std::ptrdiff_t> freeSlots,
                             const MoveHistory &history,
                             SteadyTime now)
    : m_layer(layer)
    , m_tokens(tokens)
    , m_speeds(speeds)
    , m_freeSlots(std::move(freeSlots))
    , m_history(history)
    , m_now(now)
    , m_expertsOfRank(speeds.size())
    , m_load(speeds.size(), 0)
    , m_targets(speeds.size())
{
    m_replicas.reserve(tokens.size());
    for (std::size_t expert = 0; expert < tokens.size(); ++expert) {
        m_replicas.push_back(map.replicas(layer, expert));
        for (const auto rank : m_replicas.back()) {
            m_expertsOfRank[rank].push_back(expert);
            m_load[rank] += share(expert) / m_speeds[rank];
        }
    }
}

double LayerBalancer::slowest() const
{
    return *std::max_element(m_load.begin(), m_load.end());
}

std::size_t LayerBalancer::coolingSteps() const
{
    return m_coolingSteps;
}

std::vector<std::ptrdiff_t> LayerBalancer::freeSlots() const
{
    return m_freeSlots;
}

double LayerBalancer::share(std::size_t expert) const
{
    return m_tokens[expert] / static_cast<double>(m_replicas[expert].size());
}

bool LayerBalancer::holds(std::size_t expert, std::size_t rank) const
{
    const auto &ranks = m_replicas[expert];
    return std::find(ranks.begin(), ranks.end(), rank) != ranks.end();
}

std::optional<BalanceStep> LayerBalancer::improve()
{
    const auto from = static_cast<std::size_t>(std::max_element(m_load.begin(), m_load.end()) - m_load.begin());
    selectTargets();
    Candidate best;
    for (const auto expert : m_expertsOfRank[from]) {
        if (m_replicas[expert].size() > 1) {
            consider({Change{expert, Change::noRank, from}}, from, best);
        }
        for (const auto target : m_targets) {
            if (target != from && !holds(expert, target)) {
                tryTarget(expert, from, target, best);
            }
        }
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
        m_done.push_back(move);
    }
    step.slowest = slowest();
    return step;
}

void LayerBalancer::selectTargets()
{
    m_targets.resize(m_load.size());
    std::iota(m_targets.begin(), m_targets.end(), std::size_t{0});
    const auto count = std::min(targetCount, m_targets.size());
    std::partial_sort(m_targets.begin(),
                      m_targets.begin() + static_cast<std::ptrdiff_t>(count),
                      m_targets.end(),
                      [this](std::size_t left, std::size_t right) {
                          return std::pair(m_load[left], left) < std::pair(m_load[right], right);
                      });
    m_targets.resize(count);
}

void LayerBalancer::tryTarget(std::size_t expert, std::size_t from, std::size_t target, Candidate &best)
{
    if (m_freeSlots[target] > 0) {
        consider({Change{expert, target, from}}, from, best);
        consider({Change{expert, target, Change::noRank}}, from, best);
    } else {
        tryEviction(expert, from, target, best);
    }
    if (m_freeSlots[target] > 0 || m_freeSlots[from] > 0) {
        trySwap(expert, from, target, best);
    }
}

void LayerBalancer::trySwap(std::size_t expert, std::size_t from, std::size_t target, Candidate &best)
{
    // Moving this many tokens, less those that come back, evens out both ranks.
    const double wanted = (m_load[from] - m_load[target]) / (1 / m_speeds[from] + 1 / m_speeds[target]);
    const double shareBack = share(expert) - wanted;
    if (shareBack <= 0) {
        return;
    }
    auto closest = m_tokens.size();
    double distance = std::numeric_limits<double>::infinity();
    for (const auto other : m_expertsOfRank[target]) {
        const double off = std::abs(share(other) - shareBack);
        if (off < distance && !holds(other, from)) {
            closest = other;
            distance = off;
        }
    }
    if (closest < m_tokens.size()) {
        consider({Change{expert, target, from}, Change{closest, from, target}}, from, best);
    }
}

void LayerBalancer::tryEviction(std::size_t expert, std::size_t from, std::size_t target, Candidate &best)
{
    auto lightest = m_tokens.size();
    for (const auto other : m_expertsOfRank[target]) {
        if (m_replicas[other].size() > 1 && (lightest == m_tokens.size() || share(other) < share(lightest))) {
            lightest = other;
        }
    }
    if (lightest < m_tokens.size()) {
        const Change eviction{lightest, Change::noRank, target};
        consider({eviction, Change{expert, target, from}}, from, best);
        consider({eviction, Change{expert, target, Change::noRank}}, from, best);
    }
}

void LayerBalancer::consider(std::initializer_list<Change> changes, std::size_t from, Candidate &best)
{
    double cost = 0;
    for (const auto &change : changes) {
        cost += change.addTo != Change::noRank ? 1 : 0;
    }
    const double benefit = decrease(changes, from) / std::max(cost, costOfDrop);
    if (benefit <= best.benefit) {
        return;
    }
    const auto moves = movesFor({changes.begin(), changes.size()});
    if (!allowed({moves.data(), moves.size()})) {
        return;
    }
    best.changes.assign(changes.begin(), changes.end());
    best.benefit = benefit;
}

double LayerBalancer::decrease(std::initializer_list<Change> changes, std::size_t from)
{
    m_touched.clear();
    for (const auto &change : changes) {
        accumulate(change);
    }
    const double limit = m_load[from] * (1 - leastImprovement);
    double sum = 0;
    for (const auto &[rank, difference] : m_touched) {
        const double after = m_load[rank] + difference;
        if (after >= limit) {
            return -1;
        }
        sum += m_load[rank] * m_load[rank] - after * after;
    }
    return sum;
}

void LayerBalancer::accumulate(const Change &change)
{
    const auto &ranks = m_replicas[change.expert];
    const auto after
        = ranks.size() + (change.addTo != Change::noRank ? 1 : 0) - (change.dropFrom != Change::noRank ? 1 : 0);
    const double before = share(change.expert);
    const double later = m_tokens[change.expert] / static_cast<double>(after);
    for (const auto rank : ranks) {
        if (rank == change.dropFrom) {
            touch(rank, -before / m_speeds[rank]);
        } else if (after != ranks.size()) {
            touch(rank, (later - before) / m_speeds[rank]);
        }
    }
    if (change.addTo != Change::noRank) {
        touch(change.addTo, later / m_speeds[change.addTo]);
    }
}

void LayerBalancer::touch(std::size_t rank, double load)
{
    for (auto &entry : m_touched) {
        if (entry.first == rank) {
            entry.second += load;
            return;
        }
    }
    m_touched.emplace_back(rank, load);
}

boost::container::static_vector<ReplicaMove, 4> LayerBalancer::movesFor(std::span<const Change> changes) const
{
    boost::container::static_vector<ReplicaMove, 4> moves;
    const auto append = [&](const Change &change) {
        const auto expert = static_cast<ExpertIndex>(change.expert);
        if (change.addTo != Change::noRank) {
            moves.push_back({MoveKind::Add, m_layer, expert, static_cast<RankIndex>(change.addTo)});
        }
        if (change.dropFrom != Change::noRank) {
            moves.push_back({MoveKind::Drop, m_layer, expert, static_cast<RankIndex>(change.dropFrom)});
        }
    };
    // The first rank that receives needs a free slot. A swap therefore starts at the rank that has one.
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

bool LayerBalancer::allowed(std::span<const ReplicaMove> moves)
{
    for (const auto &move : moves) {
        auto inverse = move;
        inverse.kind = move.kind == MoveKind::Add ? MoveKind::Drop : MoveKind::Add;
        if (std::find(m_done.begin(), m_done.end(), inverse) != m_done.end()) {
            return false;
        }
        if (m_history.undoesRecent(move, m_now)) {
            ++m_coolingSteps;
            return false;
        }
    }
    return true;
}

void LayerBalancer::apply(const Change &change)
{
    m_touched.clear();
    accumulate(change);
    for (const auto &[rank, difference] : m_touched) {
        m_load[rank] += difference;
    }
    auto &ranks = m_replicas[change.expert];
    if (change.addTo != Change::noRank) {
        ranks.push_back(static_cast<RankIndex>(change.addTo));
        m_expertsOfRank[change.addTo].push_back(change.expert);
        --m_freeSlots[change.addTo];
    }
    if (change.dropFrom != Change::noRank) {
        ranks.erase(std::find(ranks.begin(), ranks.end(), change.dropFrom));
        std::erase(m_expertsOfRank[change.dropFrom], change.expert);
        ++m_freeSlots[change.dropFrom];
    }
}

} // namespace Cardamomhill::internal
