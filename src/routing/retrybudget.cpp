#include "routing/retrybudget.h"

#include <algorithm>

namespace Cardamomhill
{

RetryBudget::RetryBudget(RetryBudgetOptions options, SteadyTime slackFrom)
    : m_options(options)
    , m_slackFrom(slackFrom)
    , m_firstAttempts(options.window)
    , m_retries(options.window)
{
}

void RetryBudget::recordFirstAttempt(SteadyTime now)
{
    m_firstAttempts.add(now);
}

void RetryBudget::setSlack(double slack)
{
    m_options.slack = slack;
}

void RetryBudget::setSlackFrom(SteadyTime slackFrom)
{
    m_slackFrom = slackFrom;
}

bool RetryBudget::tryTakeRetry(SteadyTime now)
{
    if (!hasRetry(now)) {
        return false;
    }
    m_retries.add(now);
    return true;
}

bool RetryBudget::hasRetry(SteadyTime now) const
{
    return retriesLeft(now) > 0;
}

std::uint32_t RetryBudget::retriesLeft(SteadyTime now) const
{
    const double slack = now >= m_slackFrom ? m_options.slack : 0;
    const double allowed = m_options.ratio * static_cast<double>(m_firstAttempts.lowerBound(now)) + slack;
    const double left = allowed - static_cast<double>(m_retries.upperBound(now));
    return static_cast<std::uint32_t>(std::max(left, 0.0));
}

} // namespace Cardamomhill
