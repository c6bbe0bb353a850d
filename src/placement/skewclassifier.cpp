#include "placement/skewclassifier.h"

#include <algorithm>
#include <cmath>

namespace Cardamomhill
{

namespace
{

template<class Range>
double medianOf(const Range &range)
{
    std::vector<double> values(range.begin(), range.end());
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

std::vector<double> tokensOfRanks(std::span<const double> tokensPerStep, const ExpertMap &map)
{
    const auto &shape = map.shape();
    std::vector<double> tokens(shape.ranks, 0);
    for (std::size_t cell = 0; cell < shape.cellCount(); ++cell) {
        const auto &ranks = map.replicas(cell / shape.experts, cell % shape.experts);
        for (const auto rank : ranks) {
            tokens[rank] += tokensPerStep[cell] / static_cast<double>(ranks.size());
        }
    }
    return tokens;
}

} // namespace

SkewClassifier::SkewClassifier(const GroupShape &shape, const SkewClassifierOptions &options)
    : m_shape(shape)
    , m_options(options)
    , m_speedSamples(shape.ranks, boost::circular_buffer<double>(options.windows))
    , m_timeSamples(options.windows)
{
    m_diagnosis.speeds.assign(shape.ranks, 1.0);
}

void SkewClassifier::observe(std::span<const RankWindow> windows,
                             std::span<const double> tokensPerStep,
                             const ExpertMap &map)
{
    const auto rankTokens = tokensOfRanks(tokensPerStep, map);
    std::vector<double> microsecondsPerToken;
    for (std::size_t rank = 0; rank < m_shape.ranks; ++rank) {
        if (windows[rank].fresh && rankTokens[rank] > 0 && windows[rank].busyMicrosecondsPerStep > 0) {
            microsecondsPerToken.push_back(windows[rank].busyMicrosecondsPerStep / rankTokens[rank]);
        }
    }
    if (microsecondsPerToken.empty()) {
        return;
    }
    const double typical = medianOf(microsecondsPerToken);
    m_timeSamples.push_back(typical);
    m_diagnosis.microsecondsPerToken = medianOf(m_timeSamples);
    for (std::size_t rank = 0; rank < m_shape.ranks; ++rank) {
        if (windows[rank].fresh && rankTokens[rank] > 0 && windows[rank].busyMicrosecondsPerStep > 0) {
            m_speedSamples[rank].push_back(typical * rankTokens[rank] / windows[rank].busyMicrosecondsPerStep);
            updateSpeed(rank);
        }
    }
    classify(windows, rankTokens);
}

const SkewDiagnosis &SkewClassifier::diagnosis() const
{
    return m_diagnosis;
}

void SkewClassifier::updateSpeed(std::size_t rank)
{
    auto &speed = m_diagnosis.speeds[rank];
    if (m_speedSamples[rank].size() < m_options.minimumWindows) {
        return;
    }
    const double median = medianOf(m_speedSamples[rank]);
    const bool wasSlow = speed < 1;
    if (median > m_options.normalAbove || (!wasSlow && median >= m_options.slowBelow)) {
        speed = 1;
    } else if (!wasSlow || std::abs(median - speed) > m_options.speedStep) {
        speed = median;
    }
}

void SkewClassifier::classify(std::span<const RankWindow> windows, std::span<const double> rankTokens)
{
    double slowest = 0;
    double total = 0;
    double fresh = 0;
    m_diagnosis.kind = SkewKind::None;
    m_diagnosis.rank = 0;
    std::size_t stalled = m_shape.ranks;
    for (std::size_t rank = 0; rank < m_shape.ranks; ++rank) {
        if (!windows[rank].fresh) {
            continue;
        }
        const double time = windows[rank].busyMicrosecondsPerStep;
        slowest = std::max(slowest, time);
        total += time;
        ++fresh;
        const auto &samples = m_speedSamples[rank];
        if (samples.size() >= 2 && samples.back() <= m_options.stallBelow * medianOf(samples)) {
            stalled = rank;
        }
    }
    m_diagnosis.measuredSkew = total > 0 ? slowest * fresh / total : 1;
    const auto slow = std::min_element(m_diagnosis.speeds.begin(), m_diagnosis.speeds.end());
    if (stalled < m_shape.ranks) {
        m_diagnosis.kind = SkewKind::PassingStall;
        m_diagnosis.rank = static_cast<RankIndex>(stalled);
    } else if (*slow < 1) {
        m_diagnosis.kind = SkewKind::SlowRank;
        m_diagnosis.rank = static_cast<RankIndex>(slow - m_diagnosis.speeds.begin());
    } else if (m_diagnosis.measuredSkew > m_options.minimumSkew) {
        const auto most = std::max_element(rankTokens.begin(), rankTokens.end());
        m_diagnosis.kind = SkewKind::PopularExperts;
        m_diagnosis.rank = static_cast<RankIndex>(most - rankTokens.begin());
    }
}

} // namespace Cardamomhill
