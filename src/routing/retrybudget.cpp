#include "routing/retrybudget.h"

#include <algorithm>

namespace Cardamomhill
{

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : m_options(options)
    , m_credits(creditsFor(options.burst))
{
}

void RetryBudget::recordFirstAttempt()
{
    m_credits = std::min(m_credits + 1, creditsFor(m_options.burst));
}

void RetryBudget::setBurst(std::uint32_t burst)
{
    if (burst > m_options.burst) {
        m_credits += creditsFor(burst - m_options.burst);
    }
    m_options.burst = burst;
    m_credits = std::min(m_credits, creditsFor(burst));
}

std::uint64_t RetryBudget::creditsFor(std::uint32_t retries) const
{
    return std::uint64_t{retries} * m_options.attemptsPerRetry;
}

bool RetryBudget::tryTakeToken()
{
    if (!hasRetry()) {
        return false;
    }
    m_credits -= m_options.attemptsPerRetry;
    return true;
}

bool RetryBudget::hasRetry() const
{
    return retriesLeft() > 0;
}

std::uint32_t RetryBudget::retriesLeft() const
{
    const bool isLimited = m_options.attemptsPerRetry > 0;
    return isLimited ? static_cast<std::uint32_t>(m_credits / m_options.attemptsPerRetry) : 0;
}

} // namespace Cardamomhill
