#include "routing/retrybudget.h"

#include <algorithm>

namespace Cardamomhill
{

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : m_options(options)
    , m_parts(std::uint64_t{options.burst} * options.attemptsPerRetry)
{
}

void RetryBudget::recordFirstAttempt()
{
    const std::uint64_t most = std::uint64_t{m_options.burst} * m_options.attemptsPerRetry;
    m_parts = std::min(m_parts + 1, most);
}

void RetryBudget::setBurst(std::uint32_t burst)
{
    const auto partsOf = [this](std::uint32_t retries) { return std::uint64_t{retries} * m_options.attemptsPerRetry; };
    if (burst > m_options.burst) {
        m_parts += partsOf(burst - m_options.burst);
    }
    m_options.burst = burst;
    m_parts = std::min(m_parts, partsOf(burst));
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
