#include "traffic/slowstepdetector.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

/// No step is shorter. Arrivals that are closer together are events of the same step.
constexpr Microseconds MinStep{10'000};
/// No step is longer. A longer gap is a pause between calls.
constexpr Microseconds MaxStep{1'000'000};

} // namespace

SlowStepDetector::SlowStepDetector(SlowStepDetectorOptions options)
    : m_options(options)
{
}

bool SlowStepDetector::recordArrival(SteadyTime now)
{
    const auto gap = std::chrono::duration_cast<Microseconds>(now - m_lastStepAt);
    const auto duration = static_cast<double>(gap.count());
    if (gap < MinStep || duration < m_options.sameStepFraction * m_meanMicroseconds) {
        return false;
    }
    m_lastStepAt = now;
    m_lastDuration = gap;
    if (isPause(gap)) {
        m_consecutiveSlow = 0;
        return false;
    }
    const bool isSlow = isWarmedUp() && duration > m_options.slowFactor * m_meanMicroseconds;
    m_consecutiveSlow = isSlow ? m_consecutiveSlow + 1 : 0;
    ++m_steps;
    const double weight = isWarmedUp() ? m_options.smoothingFactor : 1.0 / m_steps;
    m_meanMicroseconds += weight * (duration - m_meanMicroseconds);
    return m_consecutiveSlow == m_options.consecutiveSlowSteps;
}

std::uint32_t SlowStepDetector::stepCount() const
{
    return m_steps;
}

Microseconds SlowStepDetector::lastDuration() const
{
    return m_lastDuration;
}

Microseconds SlowStepDetector::meanDuration() const
{
    return isWarmedUp() ? Microseconds(static_cast<Microseconds::rep>(m_meanMicroseconds)) : Microseconds(0);
}

Microseconds SlowStepDetector::currentDuration(SteadyTime now) const
{
    const auto elapsed = std::chrono::duration_cast<Microseconds>(now - m_lastStepAt);
    const auto longest = std::max(elapsed, m_lastDuration);
    return isWarmedUp() && !isPause(longest) ? longest : Microseconds(0);
}

bool SlowStepDetector::isPause(Microseconds gap) const
{
    return gap > MaxStep
        || (isWarmedUp() && static_cast<double>(gap.count()) > m_options.pauseFactor * m_meanMicroseconds);
}

bool SlowStepDetector::isWarmedUp() const
{
    return m_steps >= m_options.warmUpSteps;
}

} // namespace Cardamomhill
