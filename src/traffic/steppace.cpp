#include "traffic/steppace.h"

namespace Cardamomhill
{

namespace
{

/// No step is shorter; arrivals closer together are events of one step.
constexpr Microseconds ShortestStep{10'000};
/// No step is longer.
constexpr Microseconds LongestStep{1'000'000};

} // namespace

StepPace::StepPace(StepPaceOptions options)
    : m_options(options)
{
}

bool StepPace::arrived(SteadyTime now)
{
    const auto gap = std::chrono::duration_cast<Microseconds>(now - m_stepAt);
    const auto duration = static_cast<double>(gap.count());
    if (gap < ShortestStep || duration < m_options.sameStepPart * m_usual) {
        return false;
    }
    m_stepAt = now;
    if (gap > LongestStep || (isKnown() && duration > m_options.pauseFactor * m_usual)) {
        m_slow = 0;
        return false;
    }
    const bool isSlow = isKnown() && duration > m_options.slowFactor * m_usual;
    m_slow = isSlow ? m_slow + 1 : 0;
    ++m_steps;
    const double weight = isKnown() ? m_options.newestWeight : 1.0 / m_steps;
    m_usual += weight * (duration - m_usual);
    return m_slow == m_options.slowSteps;
}

Microseconds StepPace::usual() const
{
    return isKnown() ? Microseconds(static_cast<Microseconds::rep>(m_usual)) : Microseconds(0);
}

bool StepPace::isKnown() const
{
    return m_steps >= m_options.learningSteps;
}

} // namespace Cardamomhill
