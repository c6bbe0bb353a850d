#include "routing/retrybudget.h"

#include <algorithm>

namespace Cardamomhill
{

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : m_options(options)
    , m_parts(partsOf(options.burst))
{
}

void RetryBudget::recordFirstAttempt()
{
    m_parts = std::min(m_parts + 1, partsOf(m_options.burst));
}

void RetryBudget::setBurst(std::uint32_t burst)
{
    if (burst > m_options.burst) {
        m_parts += partsOf(burst - m_options.burst);
    }
    m_options.burst = burst;
    m_parts = std::min(m_parts, partsOf(burst));
}

std::uint64_t RetryBudget::partsOf(std::uint32_t retries) const
{
    return std::uint64_t{retries} * m_options.attemptsPerRetry;
}

bool RetryBudget::takeRetry()
{
    if (!hasRetry()) {
        return false;
    }
    m_parts -= m_options.attemptsPerRetry;
    return true;
}

bool RetryBudget::hasRetry() const
{
    return retriesLeft() > 0;
}

std::uint32_t RetryBudget::retriesLeft() const
{
    const bool isLimited = m_options.attemptsPerRetry > 0;
    return isLimited ? static_cast<std::uint32_t>(m_parts / m_options.attemptsPerRetry) : 0;
}

} // namespace Cardamomhill
