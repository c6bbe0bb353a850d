#pragma once

#include "fullrepack.h"
#include "loadtrace.h"
#include "measures.h"
#include "placement/placement.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Cardamomhill
{

/// Interval between repacks, in ticks.
inline constexpr int ticksPerRepack = 6;
/// Interval between decisions of the adaptive policy, in ticks; short, as a decision to keep the map costs little.
inline constexpr int ticksPerDecision = 2;
inline constexpr std::uint64_t expertBytes = 44'040'192; // three matrices of 7168 x 2048 at 8 bits
inline constexpr std::uint64_t storeBytesPerSecond = 2'000'000'000;

inline SteadyTime timeOfTick(int tick)
{
    return SteadyTime(Seconds(1000 + static_cast<std::int64_t>(tick * tickSeconds)));
}

/// A way to manage the expert map of a group.
class Policy
{
public:
    Policy(std::string name, const GroupShape &shape)
        : m_name(std::move(name))
        , m_map(ExpertMap::contiguous(shape))
    {
    }
    virtual ~Policy() = default;
    Policy(const Policy &) = delete;
    Policy &operator=(const Policy &) = delete;

    const std::string &name() const
    {
        return m_name;
    }
    const ExpertMap &map() const
    {
        return m_map;
    }

    /// Records the end of a tick. `busyTimes` are the ranks' times for one of its steps, in microseconds.
    virtual void observe(int tick, const LoadTrace &trace, const std::vector<double> &busyTimes) = 0;
    /// Returns the new map if it is to be changed.
    virtual std::optional<ExpertMap> decide(int tick) = 0;
    /// Ticks between two decisions.
    virtual int period() const
    {
        return ticksPerRepack;
    }

    void setMap(ExpertMap map)
    {
        m_map = std::move(map);
    }

private:
    std::string m_name;
    ExpertMap m_map;
};

class NeverRebalance : public Policy
{
public:
    explicit NeverRebalance(const GroupShape &shape)
        : Policy("never", shape)
    {
    }
    void observe(int, const LoadTrace &, const std::vector<double> &) override
    {
    }
    std::optional<ExpertMap> decide(int) override
    {
        return std::nullopt;
    }
};

/// Computes a new map from the tokens of the last period, either each period or only when the skew of the period
/// exceeded a threshold. Its transfers are assumed to take no time, which favours it.
class PeriodicRepack : public Policy
{
public:
    PeriodicRepack(std::string name, const GroupShape &shape, std::size_t slots, double threshold)
        : Policy(std::move(name), shape)
        , m_repack(shape, slots)
        , m_shape(shape)
        , m_threshold(threshold)
        , m_tokens(shape.cellCount(), 0)
    {
    }

    void observe(int, const LoadTrace &trace, const std::vector<double> &) override
    {
        for (std::size_t cell = 0; cell < m_tokens.size(); ++cell) {
            m_tokens[cell] += trace.countedTokens()[cell];
        }
    }

    std::optional<ExpertMap> decide(int) override
    {
        const auto tokens = std::exchange(m_tokens, std::vector<double>(m_shape.cellCount(), 0));
        if (m_threshold > 1 && skewOf(tokens) <= m_threshold) {
            return std::nullopt;
        }
        return m_repack.place(tokens);
    }

private:
    double skewOf(const std::vector<double> &tokens) const
    {
        const std::vector<double> slowdowns(m_shape.ranks, 1);
        const auto times = stepTimes(map(), tokens, slowdowns);
        return times.step / times.mean;
    }

    FullRepack m_repack;
    GroupShape m_shape;
    double m_threshold;
    std::vector<double> m_tokens;
};

/// The policy of src/placement.
class AdaptivePolicy : public Policy
{
public:
    AdaptivePolicy(std::string name,
                   const GroupShape &shape,
                   const PlacementLimits &limits,
                   const PlacementWeights &weights,
                   const RebalancerOptions &options)
        : Policy(std::move(name), shape)
        , m_rebalancer(map(), limits, weights, options)
        , m_reports(shape.ranks)
    {
        for (std::size_t rank = 0; rank < shape.ranks; ++rank) {
            m_reports[rank].rank = static_cast<RankIndex>(rank);
            m_reports[rank].tokens.assign(shape.cellCount(), 0);
            (void)m_rebalancer.observe(m_reports[rank]);
        }
    }

    void observe(int tick, const LoadTrace &trace, const std::vector<double> &busyTimes) override
    {
        constexpr double steps = tickSeconds * stepsPerSecond;
        const auto ranks = static_cast<double>(m_reports.size());
        for (auto &report : m_reports) {
            ++report.sequence;
            report.receivedAt = timeOfTick(tick);
            report.steps += static_cast<std::uint64_t>(steps);
            report.busyTime += Microseconds(static_cast<std::int64_t>(busyTimes[report.rank] * steps));
            for (std::size_t cell = 0; cell < report.tokens.size(); ++cell) {
                report.tokens[cell] += static_cast<std::uint64_t>(trace.countedTokens()[cell] * steps / ranks);
            }
            (void)m_rebalancer.observe(report);
        }
        m_rebalancer.advance(timeOfTick(tick));
        if (m_pending && timeOfTick(tick) >= m_switchAt) {
            m_rebalancer.mapSwitched(*m_pending);
            setMap(*std::exchange(m_pending, std::nullopt));
        }
    }

    std::optional<ExpertMap> decide(int tick) override
    {
        if (m_pending) {
            return std::nullopt; // The transfers of the last plan have not ended.
        }
        const auto decision = m_rebalancer.decide(timeOfTick(tick));
        if (!decision) {
            throw std::runtime_error(decision.error().message());
        }
        if (const auto *plan = std::get_if<PlacementPlan>(&decision.value())) {
            const auto after = m_rebalancer.startPlan(*plan, timeOfTick(tick));
            if (!after) {
                throw std::runtime_error(after.error().message());
            }
            m_pending = after.value();
            m_switchAt = timeOfTick(tick) + plan->transferTime;
            return after.value();
        }
        return std::nullopt;
    }

    int period() const override
    {
        return ticksPerDecision;
    }

    const Rebalancer &rebalancer() const
    {
        return m_rebalancer;
    }

private:
    Rebalancer m_rebalancer;
    std::vector<RankReport> m_reports;
    std::optional<ExpertMap> m_pending;
    SteadyTime m_switchAt{};
};

} // namespace Cardamomhill
