#pragma once

#include "loadtrace.h"
#include "placement/expertmap.h"

#include <algorithm>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace Cardamomhill
{

/// Times of one step with a map, in microseconds. Every layer ends with an exchange between all ranks, so it takes as
/// long as its slowest rank.
struct StepTimes {
    /// Sum over the layers of the slowest rank's time.
    double step = 0;
    /// Sum over the layers of the ranks' mean time.
    double mean = 0;
    /// Sum over the layers of the time with perfect balance at the ranks' speeds, where experts can be split freely.
    double bound = 0;
    /// Time of each rank over all layers.
    std::vector<double> ranks;
};

inline StepTimes
stepTimes(const ExpertMap &map, const std::vector<double> &tokens, const std::vector<double> &slowdowns)
{
    const auto &shape = map.shape();
    StepTimes times;
    times.ranks.assign(shape.ranks, 0);
    double speed = 0;
    for (const auto slowdown : slowdowns) {
        speed += 1 / slowdown;
    }
    std::vector<double> layerRanks(shape.ranks);
    for (std::size_t layer = 0; layer < shape.layers; ++layer) {
        std::fill(layerRanks.begin(), layerRanks.end(), 0.0);
        double total = 0;
        for (std::size_t expert = 0; expert < shape.experts; ++expert) {
            const auto count = tokens[layer * shape.experts + expert];
            const auto &holders = map.replicas(layer, expert);
            const double share = count / static_cast<double>(holders.size());
            for (const auto rank : holders) {
                layerRanks[rank] += share * slowdowns[rank] * microsecondsPerToken;
            }
            total += count;
        }
        double slowest = 0;
        for (std::size_t rank = 0; rank < shape.ranks; ++rank) {
            slowest = std::max(slowest, layerRanks[rank]);
            times.mean += layerRanks[rank] / static_cast<double>(shape.ranks);
            times.ranks[rank] += layerRanks[rank];
        }
        times.step += slowest;
        times.bound += total * microsecondsPerToken / speed;
    }
    return times;
}

/// Measurements of one policy on one trace.
class Measures
{
public:
    void addStep(const StepTimes &times)
    {
        m_skews.push_back(times.step / times.mean);
        m_lost += times.step - times.mean;
        m_step += times.step;
        m_mean += times.mean;
        m_bound += times.bound;
    }

    void addChange(const ExpertMap &before, const ExpertMap &after, int tick)
    {
        const auto &shape = before.shape();
        for (std::size_t cell = 0; cell < shape.cellCount(); ++cell) {
            const auto &old = before.replicas(cell / shape.experts, cell % shape.experts);
            const auto &now = after.replicas(cell / shape.experts, cell % shape.experts);
            for (const auto rank : now) {
                if (std::find(old.begin(), old.end(), rank) == old.end()) {
                    ++m_moved;
                    m_movedLate += tick * tickSeconds > lateAfterSeconds ? 1 : 0;
                    recordMove(cell * shape.ranks + rank, true, tick);
                }
            }
            for (const auto rank : old) {
                if (std::find(now.begin(), now.end(), rank) == now.end()) {
                    recordMove(cell * shape.ranks + rank, false, tick);
                }
            }
        }
    }

    void addDecision(double milliseconds)
    {
        m_decisions.push_back(milliseconds);
    }

    double meanSkew() const
    {
        double sum = 0;
        for (const auto skew : m_skews) {
            sum += skew;
        }
        return sum / static_cast<double>(m_skews.size());
    }

    double skewQuantile99() const
    {
        return quantile(m_skews, 0.99);
    }

    /// Time spent waiting for the slowest rank, relative to the mean time of the ranks.
    double lostShare() const
    {
        return m_lost / m_mean;
    }

    double stepOverBound() const
    {
        return m_step / m_bound;
    }

    std::uint64_t moved() const
    {
        return m_moved;
    }
    /// Experts moved after the first ten minutes.
    std::uint64_t movedLate() const
    {
        return m_movedLate;
    }
    std::uint64_t undone() const
    {
        return m_undone;
    }
    double decisionMilliseconds() const
    {
        return m_decisions.empty() ? 0 : quantile(m_decisions, 0.99);
    }

    void merge(const Measures &other)
    {
        m_skews.insert(m_skews.end(), other.m_skews.begin(), other.m_skews.end());
        m_decisions.insert(m_decisions.end(), other.m_decisions.begin(), other.m_decisions.end());
        m_lost += other.m_lost;
        m_step += other.m_step;
        m_mean += other.m_mean;
        m_bound += other.m_bound;
        m_moved += other.m_moved;
        m_movedLate += other.m_movedLate;
        m_undone += other.m_undone;
    }

private:
    static constexpr double undoneWithinSeconds = 600;
    static constexpr double lateAfterSeconds = 600;

    struct LastMove {
        bool added = false;
        int tick = 0;
    };

    static double quantile(std::vector<double> values, double fraction)
    {
        const auto position
            = values.begin() + static_cast<std::ptrdiff_t>(fraction * static_cast<double>(values.size() - 1));
        std::nth_element(values.begin(), position, values.end());
        return *position;
    }

    void recordMove(std::uint64_t key, bool added, int tick)
    {
        const auto entry = m_lastMoves.find(key);
        if (entry != m_lastMoves.end() && entry->second.added != added
            && (tick - entry->second.tick) * tickSeconds <= undoneWithinSeconds) {
            ++m_undone;
        }
        m_lastMoves[key] = LastMove{added, tick};
    }

    std::vector<double> m_skews;
    std::vector<double> m_decisions;
    std::unordered_map<std::uint64_t, LastMove> m_lastMoves;
    double m_lost = 0;
    double m_step = 0;
    double m_mean = 0;
    double m_bound = 0;
    std::uint64_t m_moved = 0;
    std::uint64_t m_movedLate = 0;
    std::uint64_t m_undone = 0;
};

} // namespace Cardamomhill
