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
    return m_parts >= m_options.attemptsPerRetry && m_options.attemptsPerRetry > 0;
}

} // namespace Cardamomhill
