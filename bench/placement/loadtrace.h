#pragma once

#include "core/random.h"
#include "placement/groupshape.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <numbers>
#include <numeric>
#include <random>
#include <string>
#include <vector>

namespace Cardamomhill
{

/// Time between two ticks; each rank reports once per tick.
inline constexpr double tickSeconds = 10;
inline constexpr double stepsPerSecond = 30;
/// Assignments of tokens to experts by each rank in a step: 128 sequences, 8 experts per token.
inline constexpr double tokensPerRankAndStep = 1024;
/// Time that a rank needs for one token in one layer: 1,024 tokens take 0.5 ms, so 60 layers take 30 ms.
inline constexpr double microsecondsPerToken = 500.0 / tokensPerRankAndStep;
/// Standard deviation of an expert's log popularity: the most popular of 256 gets about seven times the mean.
inline constexpr double popularityDeviation = 0.8;
inline constexpr double eventJitterSeconds = 60;
inline constexpr double flashFactor = 10;
inline constexpr double stallFactor = 3;
inline constexpr double secondsPerDay = 86400;

/// The load changes and rank slowdowns of a trace. Times are in seconds.
struct TraceOptions {
    std::string name;
    double duration = 0;
    /// Amplitude of the daily cycle of an expert's log popularity.
    double dailyAmplitude = 0;
    /// Standard deviation and correlation time of the bursts of an expert's log popularity. With a deviation of 0 only
    /// the noise of drawing tokens remains.
    double burstDeviation = 0;
    double burstTime = 45;
    /// Number of times that all popularities are redrawn, spread evenly over the trace.
    int suddenChanges = 0;
    /// Time between flashes, in which one expert of each layer gets ten times its tokens. 0: none.
    double flashInterval = 0;
    double flashTime = 180;
    /// Relative speed of one rank in the middle half of the trace.
    double slowRankSpeed = 1;
    /// Time between stalls, in which one rank takes three times as long. 0: none.
    double stallInterval = 0;
    double stallTime = 30;
};

/// Generates load and rank speeds, tick by tick, from a seed. All policies of a comparison get the same values.
class LoadTrace
{
public:
    LoadTrace(const TraceOptions &options, const GroupShape &shape, std::uint64_t seed);

    /// Advances to the tick that ends at `time`.
    void advance(double time);

    /// Mean tokens per step of each (layer, expert) in the tick, as counted by the routers.
    const std::vector<double> &countedTokens() const;
    /// Tokens of each (layer, expert) in one step of the tick.
    const std::vector<double> &stepTokens() const;
    /// Time of each rank per token, relative to the normal time.
    const std::vector<double> &slowdowns() const;

private:
    /// A random delay, so that events do not always occur at the same point of the repack period.
    double jitter();
    void drawPopularity();
    void updateFlash(double time);
    void updateRanks(double time);
    void updateTokens(double time);

    TraceOptions m_options;
    GroupShape m_shape;
    Random m_random;
    std::normal_distribution<double> m_normal;
    std::vector<double> m_popularity;
    std::vector<double> m_phase;
    std::vector<double> m_burst;
    std::vector<double> m_weights;
    std::vector<double> m_counted;
    std::vector<double> m_step;
    std::vector<double> m_slowdowns;
    std::vector<std::size_t> m_flashed;
    double m_nextFlash = 0;
    double m_flashStart = 0;
    double m_flashEnd = 0;
    std::size_t m_slowRank = 0;
    std::size_t m_stalledRank = 0;
    double m_nextStall = 0;
    double m_stallStart = 0;
    double m_stallEnd = 0;
    int m_changesDone = 0;
    double m_changeJitter = 0;
};

inline LoadTrace::LoadTrace(const TraceOptions &options, const GroupShape &shape, std::uint64_t seed)
    : m_options(options)
    , m_shape(shape)
    , m_random(seed)
    , m_popularity(shape.cellCount())
    , m_phase(shape.cellCount())
    , m_burst(shape.cellCount(), 0)
    , m_weights(shape.cellCount())
    , m_counted(shape.cellCount())
    , m_step(shape.cellCount())
    , m_slowdowns(shape.ranks, 1)
    , m_flashed(shape.layers)
    , m_slowRank(m_random() % shape.ranks)
{
    drawPopularity();
    m_changeJitter = jitter();
    for (auto &phase : m_phase) {
        phase = std::uniform_real_distribution<double>(0, 2 * std::numbers::pi)(m_random);
    }
    for (auto &burst : m_burst) {
        burst = m_options.burstDeviation * m_normal(m_random);
    }
    for (auto &expert : m_flashed) {
        expert = m_random() % m_shape.experts;
    }
}

inline const std::vector<double> &LoadTrace::countedTokens() const
{
    return m_counted;
}

inline const std::vector<double> &LoadTrace::stepTokens() const
{
    return m_step;
}

inline const std::vector<double> &LoadTrace::slowdowns() const
{
    return m_slowdowns;
}

inline double LoadTrace::jitter()
{
    return std::uniform_real_distribution<double>(0, eventJitterSeconds)(m_random);
}

inline void LoadTrace::drawPopularity()
{
    for (auto &value : m_popularity) {
        value = popularityDeviation * m_normal(m_random);
    }
}

inline void LoadTrace::advance(double time)
{
    const double changeInterval = m_options.duration / (m_options.suddenChanges + 1);
    if (m_changesDone < m_options.suddenChanges && time >= changeInterval * (m_changesDone + 1) + m_changeJitter) {
        ++m_changesDone;
        m_changeJitter = jitter();
        drawPopularity();
    }
    updateFlash(time);
    updateRanks(time);
    updateTokens(time);
}

inline void LoadTrace::updateFlash(double time)
{
    if (m_options.flashInterval > 0 && time >= m_flashEnd) {
        m_nextFlash += m_options.flashInterval;
        m_flashStart = m_nextFlash + jitter();
        m_flashEnd = m_flashStart + m_options.flashTime;
        for (auto &expert : m_flashed) {
            expert = m_random() % m_shape.experts;
        }
    }
}

inline void LoadTrace::updateRanks(double time)
{
    std::fill(m_slowdowns.begin(), m_slowdowns.end(), 1.0);
    if (m_options.slowRankSpeed < 1 && time >= m_options.duration / 4 && time < m_options.duration * 3 / 4) {
        m_slowdowns[m_slowRank] = 1 / m_options.slowRankSpeed;
    }
    if (m_options.stallInterval <= 0) {
        return;
    }
    if (time >= m_stallEnd) {
        m_nextStall += m_options.stallInterval;
        m_stallStart = m_nextStall + jitter();
        m_stallEnd = m_stallStart + m_options.stallTime;
        m_stalledRank = m_random() % m_shape.ranks;
    }
    if (m_stallStart > 0 && time >= m_stallStart) {
        m_slowdowns[m_stalledRank] = stallFactor;
    }
}

inline void LoadTrace::updateTokens(double time)
{
    const double keep = std::exp(-tickSeconds / m_options.burstTime);
    const double renew = m_options.burstDeviation * std::sqrt(1 - keep * keep);
    const bool flashing = m_options.flashInterval > 0 && m_flashStart > 0 && time >= m_flashStart;
    for (std::size_t cell = 0; cell < m_shape.cellCount(); ++cell) {
        double logWeight = m_popularity[cell];
        if (m_options.dailyAmplitude > 0) {
            logWeight
                += m_options.dailyAmplitude * std::sin(2 * std::numbers::pi * time / secondsPerDay + m_phase[cell]);
        }
        if (m_options.burstDeviation > 0) {
            m_burst[cell] = keep * m_burst[cell] + renew * m_normal(m_random);
            logWeight += m_burst[cell];
        }
        m_weights[cell] = std::exp(logWeight);
    }
    const double tokens = tokensPerRankAndStep * static_cast<double>(m_shape.ranks);
    for (std::size_t layer = 0; layer < m_shape.layers; ++layer) {
        const auto begin = m_weights.begin() + static_cast<std::ptrdiff_t>(layer * m_shape.experts);
        if (flashing) {
            begin[static_cast<std::ptrdiff_t>(m_flashed[layer])] *= flashFactor;
        }
        const double scale = tokens / std::accumulate(begin, begin + static_cast<std::ptrdiff_t>(m_shape.experts), 0.0);
        for (std::size_t expert = 0; expert < m_shape.experts; ++expert) {
            const auto cell = layer * m_shape.experts + expert;
            const double mean = m_weights[cell] * scale;
            // Normal approximation of the Poisson distribution.
            const double deviation = std::sqrt(mean);
            m_step[cell] = std::max(0.0, std::round(mean + deviation * m_normal(m_random)));
            m_counted[cell]
                = std::max(0.0, mean + deviation / std::sqrt(tickSeconds * stepsPerSecond) * m_normal(m_random));
        }
    }
}

} // namespace Cardamomhill
