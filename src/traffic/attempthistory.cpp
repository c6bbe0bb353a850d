#include "traffic/attempthistory.h"

#include "routing/retrybudget.h"
#include "traffic/route.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

/// Limits attempts of all kinds; the limit of a route counts only those that reached a server of the service.
constexpr std::size_t MaxAttempts = 6;
/// No attempt starts with less time left, since no server could answer before the deadline.
constexpr Milliseconds MinAttemptTime{20};

bool reachedServer(AttemptEnd end)
{
    return end != AttemptEnd::NotSent && end != AttemptEnd::Withdrawn;
}

bool reachedService(AttemptEnd end)
{
    return reachedServer(end) && end != AttemptEnd::OtherInstance;
}

} // namespace

void AttemptHistory::add(AttemptEnd end)
{
    m_ends.push_back(end);
}

std::size_t AttemptHistory::count() const
{
    return m_ends.size();
}

std::size_t AttemptHistory::sentCount() const
{
    return static_cast<std::size_t>(std::count_if(m_ends.begin(), m_ends.end(), &reachedService));
}

bool AttemptHistory::isCertainlyNotRun() const
{
    return std::all_of(m_ends.begin(), m_ends.end(), &didNotRun);
}

bool AttemptHistory::allowsRetryAfter(AttemptEnd end, const Route &route, Milliseconds left) const
{
    auto history = *this;
    history.add(end);
    return history.evaluate(route, left) == RetryVerdict::Retry;
}

bool AttemptHistory::isRetryCharged() const
{
    return !m_ends.empty() && reachedServer(m_ends.back());
}

RetryVerdict AttemptHistory::retry(const Route &route, Milliseconds left, RetryBudget &budget, SteadyTime now) const
{
    const auto verdict = evaluate(route, left);
    if (verdict != RetryVerdict::Retry || !isRetryCharged()) {
        return verdict;
    }
    return budget.tryTakeRetry(now) ? RetryVerdict::Retry : RetryVerdict::BudgetEmpty;
}

RetryVerdict AttemptHistory::evaluate(const Route &route, Milliseconds left) const
{
    if (!route.isRepeatable() && !isCertainlyNotRun()) {
        return RetryVerdict::NotRepeatable;
    }
    if (sentCount() >= route.attemptLimit || count() >= MaxAttempts) {
        return RetryVerdict::AttemptsUsed;
    }
    return left < MinAttemptTime ? RetryVerdict::TooLate : RetryVerdict::Retry;
}

} // namespace Cardamomhill
