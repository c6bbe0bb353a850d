#include "placement/loadestimator.h"

#include <algorithm>
#include <cmath>

namespace Cardamomhill
{

namespace
{

// Report interval assumed for the first update, which has no earlier one to measure it from.
constexpr double assumedFirstIntervalSeconds = 10;
// Median absolute value of a normal variable in standard deviations.
constexpr double medianOfAbsoluteNormal = 0.6745;

double secondsBetween(SteadyTime from, SteadyTime to)
{
    return std::chrono::duration<double>(to - from).count();
}

/// Weight of a new value that covers `elapsed` seconds. Before the time constant has passed, the average is the
/// arithmetic mean of its values.
double averageWeight(double elapsed, double observed, Seconds timeConstant)
{
    const double steady = 1 - std::exp(-elapsed / static_cast<double>(timeConstant.count()));
    return std::max(steady, elapsed / observed);
}

bool anyDecreased(const std::vector<std::uint64_t> &before, const std::vector<std::uint64_t> &now)
{
    return !std::equal(before.begin(), before.end(), now.begin(), std::less_equal<>());
}

} // namespace

LoadEstimator::LoadEstimator(const GroupShape &shape, const LoadEstimatorOptions &options)
    : m_shape(shape)
    , m_options(options)
    , m_ranks(shape.ranks)
    , m_pendingWindows(shape.ranks)
    , m_windows(shape.ranks)
    , m_windowTokens(shape.cellCount(), 0)
    , m_fastAverage(shape.cellCount(), 0)
    , m_slowAverage(shape.cellCount(), 0)
    , m_layers(shape.layers)
{
}

Result<ReportOutcome, PlacementError> LoadEstimator::observe(const RankReport &report)
{
    if (report.rank >= m_shape.ranks) {
        return failure(PlacementError{PlacementErrorCode::UnknownRank, 0, 0, report.rank});
    }
    if (report.tokens.size() != m_shape.cellCount()) {
        return failure(PlacementError{PlacementErrorCode::WrongShape, m_shape.layers, m_shape.experts, report.rank});
    }
    auto &state = m_ranks[report.rank];
    if (state.known
        && (report.incarnation < state.incarnation
            || (report.incarnation == state.incarnation && report.sequence <= state.sequence))) {
        return ReportOutcome::Stale;
    }
    if (!state.known || report.incarnation > state.incarnation || report.steps < state.steps
        || report.busyTime < state.busyTime || anyDecreased(state.tokens, report.tokens)) {
        setBaseline(state, report);
        return ReportOutcome::Restarted;
    }
    recordRate(state, report);
    return ReportOutcome::Counted;
}

void LoadEstimator::setBaseline(RankState &state, const RankReport &report)
{
    state.known = true;
    state.incarnation = report.incarnation;
    state.sequence = report.sequence;
    state.receivedAt = report.receivedAt;
    state.steps = report.steps;
    state.busyTime = report.busyTime;
    state.tokens = report.tokens;
}

void LoadEstimator::recordRate(RankState &state, const RankReport &report)
{
    const auto steps = report.steps - state.steps;
    if (steps == 0) {
        // No step was executed; the next report covers this window as well.
        state.sequence = report.sequence;
        return;
    }
    const auto stepCount = static_cast<double>(steps);
    state.tokensPerStep.resize(m_shape.cellCount());
    for (std::size_t cell = 0; cell < m_shape.cellCount(); ++cell) {
        state.tokensPerStep[cell]
            = static_cast<float>(static_cast<double>(report.tokens[cell] - state.tokens[cell]) / stepCount);
    }
    const double elapsed = secondsBetween(state.receivedAt, report.receivedAt);
    if (elapsed > 0) {
        state.stepsPerSecond = stepCount / elapsed;
    }
    state.hasRate = true;
    m_pendingWindows[report.rank]
        = RankWindow{true, static_cast<double>((report.busyTime - state.busyTime).count()) / stepCount};
    setBaseline(state, report);
    m_newestReport = std::max(m_newestReport, report.receivedAt);
}

bool LoadEstimator::advance(SteadyTime now)
{
    if (std::none_of(
            m_pendingWindows.begin(), m_pendingWindows.end(), [](const RankWindow &window) { return window.fresh; })) {
        return false;
    }
    const bool first = m_observedSeconds == 0;
    const double elapsed = first ? assumedFirstIntervalSeconds : secondsBetween(m_lastUpdate, now);
    if (elapsed <= 0) {
        return false;
    }
    if (first) {
        m_firstUpdate = now;
    }
    m_observedSeconds += elapsed;
    m_lastUpdate = now;
    m_windows = std::exchange(m_pendingWindows, std::vector<RankWindow>(m_shape.ranks));
    sumWindows(now);
    const double fastWeight = averageWeight(elapsed, m_observedSeconds, m_options.fastTimeConstant);
    const double slowWeight = averageWeight(elapsed, m_observedSeconds, m_options.slowTimeConstant);
    for (std::size_t layer = 0; layer < m_shape.layers; ++layer) {
        updateLayer(layer, fastWeight, slowWeight, slowWeight, now);
    }
    return true;
}

void LoadEstimator::sumWindows(SteadyTime now)
{
    std::fill(m_windowTokens.begin(), m_windowTokens.end(), 0.0);
    double ranksWithRate = 0;
    double stepsPerSecond = 0;
    for (const auto &state : m_ranks) {
        if (!state.hasRate || now - state.receivedAt > m_options.rateLifetime) {
            continue;
        }
        ++ranksWithRate;
        stepsPerSecond += state.stepsPerSecond;
        for (std::size_t cell = 0; cell < m_shape.cellCount(); ++cell) {
            m_windowTokens[cell] += state.tokensPerStep[cell];
        }
    }
    // Ranks without a current rate are assumed to route like the others.
    ranksWithRate = std::max(ranksWithRate, 1.0);
    const double scale = static_cast<double>(m_shape.ranks) / ranksWithRate;
    for (auto &tokens : m_windowTokens) {
        tokens *= scale;
    }
    m_stepsPerSecond = stepsPerSecond / ranksWithRate;
}

void LoadEstimator::updateLayer(
    std::size_t layer, double fastWeight, double slowWeight, double noiseWeight, SteadyTime now)
{
    const auto begin = layer * m_shape.experts;
    double layerTokens = 0;
    for (auto cell = begin; cell < begin + m_shape.experts; ++cell) {
        m_fastAverage[cell] += fastWeight * (m_windowTokens[cell] - m_fastAverage[cell]);
        layerTokens += m_windowTokens[cell];
    }
    const double noise = standardDeviation(layer);
    const double changeTokens = m_options.significantChangeFraction * layerTokens / static_cast<double>(m_shape.ranks);
    for (auto cell = begin; cell < begin + m_shape.experts; ++cell) {
        const double changeWeight = fastAverageWeight(cell, noise);
        if (changeWeight >= 1 && std::abs(m_fastAverage[cell] - m_slowAverage[cell]) > changeTokens
            && m_lastUpdate != m_firstUpdate) {
            m_layers[layer].lastChange = now;
        }
        // After a change the slow average adapts as quickly as the fast one.
        const double weight = slowWeight + changeWeight * std::max(0.0, fastWeight - slowWeight);
        m_slowAverage[cell] += weight * (m_windowTokens[cell] - m_slowAverage[cell]);
    }
    m_layers[layer].noise += noiseWeight * (typicalDeviation(layer, m_fastAverage) - m_layers[layer].noise);
    m_layers[layer].burst += noiseWeight * (typicalDeviation(layer, m_windowTokens) - m_layers[layer].burst);
}

double LoadEstimator::fastAverageWeight(std::size_t cell, double noise) const
{
    const double base = std::max(m_slowAverage[cell], 1e-9);
    const double deviations = std::abs(m_fastAverage[cell] - m_slowAverage[cell]) / (base * noise);
    return std::clamp((deviations - m_options.blendStartDeviations)
                          / (m_options.blendEndDeviations - m_options.blendStartDeviations),
                      0.0,
                      1.0);
}

double LoadEstimator::typicalDeviation(std::size_t layer, std::span<const double> values) const
{
    std::vector<float> deviations(m_shape.experts);
    const auto median = [&] {
        const auto middle = deviations.begin() + static_cast<std::ptrdiff_t>(deviations.size() / 2);
        std::nth_element(deviations.begin(), middle, deviations.end());
        return *middle;
    };
    for (std::size_t expert = 0; expert < m_shape.experts; ++expert) {
        const auto cell = layer * m_shape.experts + expert;
        const double base = std::max(m_slowAverage[cell], 1e-9);
        deviations[expert] = static_cast<float>((values[cell] - m_slowAverage[cell]) / base);
    }
    // A shift common to all experts does not change the balance, so it does not count as noise.
    const float shift = median();
    for (auto &deviation : deviations) {
        deviation = std::abs(deviation - shift);
    }
    return static_cast<double>(median()) / medianOfAbsoluteNormal;
}

double LoadEstimator::standardDeviation(std::size_t layer) const
{
    return std::max(m_layers[layer].noise, m_options.minimumNoise);
}

std::span<const double> LoadEstimator::windowTokens() const
{
    return m_windowTokens;
}

std::span<const RankWindow> LoadEstimator::windows() const
{
    return m_windows;
}

LoadEstimate LoadEstimator::estimate(SteadyTime now) const
{
    LoadEstimate result;
    result.shape = m_shape;
    result.tokensPerStep.resize(m_shape.cellCount());
    result.layers.resize(m_shape.layers);
    result.stepsPerSecond = m_stepsPerSecond;
    result.observedFor = Seconds(static_cast<std::int64_t>(m_observedSeconds));
    result.newestReport = m_newestReport;
    // Ratio of the errors of the two averages, for noise with an exponential autocorrelation. Initially the slow
    // average is an arithmetic mean over the observed time, with the error of an average whose time constant is half of
    // it.
    const double slowTimeConstant
        = std::min(static_cast<double>(m_options.slowTimeConstant.count()), m_observedSeconds / 2);
    const auto burstCorrelationTime = static_cast<double>(m_options.burstCorrelationTime.count());
    const auto fastTimeConstant = static_cast<double>(m_options.fastTimeConstant.count());
    const double reduction
        = std::sqrt((burstCorrelationTime + fastTimeConstant) / (burstCorrelationTime + slowTimeConstant));
    for (std::size_t layer = 0; layer < m_shape.layers; ++layer) {
        const double noise = standardDeviation(layer);
        for (std::size_t expert = 0; expert < m_shape.experts; ++expert) {
            const auto cell = layer * m_shape.experts + expert;
            result.tokensPerStep[cell]
                = m_slowAverage[cell] + fastAverageWeight(cell, noise) * (m_fastAverage[cell] - m_slowAverage[cell]);
        }
        const auto since = std::max(m_firstUpdate, m_layers[layer].lastChange);
        const auto age = std::chrono::duration_cast<Seconds>(now - since);
        // The load is expected to last as long as it has already lasted.
        result.layers[layer].expectedDuration
            = std::clamp(age, m_options.minimumExpectedDuration, m_options.maximumExpectedDuration);
        result.layers[layer].relativeError = m_layers[layer].noise * std::min(1.0, reduction);
        result.layers[layer].burstDeviation = m_layers[layer].burst;
    }
    return result;
}

} // namespace Cardamomhill
