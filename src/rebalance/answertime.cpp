#include "rebalance/answertime.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

/// Weights of a new sample in the mean and in the deviation, as 1/N, and the deviations that limits add to the mean.
constexpr int MeanDivisor = 8;
constexpr int DeviationDivisor = 4;
constexpr int LimitDeviations = 4;
/// Engines answer in milliseconds when nothing is wrong; the rest is for delays of this process.
constexpr Microseconds MinResendTime = Milliseconds(50);

} // namespace

void AnswerTime::record(Microseconds time)
{
    if (!m_isKnown) {
        m_isKnown = true;
        m_mean = time;
        m_deviation = time / DeviationDivisor;
        return;
    }
    const auto error = time - m_mean;
    m_deviation += (std::chrono::abs(error) - m_deviation) / DeviationDivisor;
    m_mean += error / MeanDivisor;
}

Microseconds AnswerTime::resendAfter() const
{
    return std::max(usual(), MinResendTime);
}

Microseconds AnswerTime::usual() const
{
    return m_mean + LimitDeviations * m_deviation;
}

} // namespace Cardamomhill
