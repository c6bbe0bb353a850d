#include "routing/retrypolicy.h"

namespace Cardamomhill
{

RetryPolicy::RetryPolicy(RetryOptions options)
    : m_options(options)
{
}

Result<void, RetryRefusal>
RetryPolicy::decide(const RetryContext &context, const AttemptLog &attempts, RetryBudget &budget, SteadyTime now) const
{
    const auto refuse = [&](RetryRefusalCode code) { return failure(RetryRefusal{code, attempts.count()}); };
    if (!context.idempotent) {
        return refuse(RetryRefusalCode::NotIdempotent);
    }
    if (context.answerStarted) {
        return refuse(RetryRefusalCode::AnswerStarted);
    }
    if (attempts.outcome() == RequestOutcome::Completed) {
        return refuse(RetryRefusalCode::AlreadyCompleted);
    }
    if (attempts.count() >= m_options.maxAttempts) {
        return refuse(RetryRefusalCode::TooManyAttempts);
    }
    if (context.deadline - now < m_options.minimumAttemptTime) {
        return refuse(RetryRefusalCode::DeadlineTooClose);
    }
    if (!budget.tryTakeRetry(now)) {
        return refuse(RetryRefusalCode::BudgetEmpty);
    }
    return success();
}

} // namespace Cardamomhill
