#pragma once

#include "placement/expertmap.h"
#include "placement/rankwindow.h"
#include "placement/skewclassifieroptions.h"
#include "placement/skewdiagnosis.h"

#include <boost/circular_buffer.hpp>

#include <span>
#include <vector>

namespace Cardamomhill
{

/// Distinguishes popular experts, slow ranks and temporary stalls by comparing a rank's time with the tokens assigned
/// to it by the expert map. Popular experts increase both, a slow rank only the time.
class SkewClassifier
{
public:
    explicit SkewClassifier(const GroupShape &shape, const SkewClassifierOptions &options = {});

    /// Records the windows of one update of the estimate and the tokens of the same time. Ranks without a fresh window
    /// are skipped.
    void observe(std::span<const RankWindow> windows, std::span<const double> tokensPerStep, const ExpertMap &map);

    const SkewDiagnosis &diagnosis() const;

private:
    void updateSpeed(std::size_t rank);
    void classify(std::span<const RankWindow> windows, std::span<const double> rankTokens);

    GroupShape m_shape;
    SkewClassifierOptions m_options;
    std::vector<boost::circular_buffer<double>> m_speedSamples;
    boost::circular_buffer<double> m_timeSamples;
    SkewDiagnosis m_diagnosis;
};

} // namespace Cardamomhill
