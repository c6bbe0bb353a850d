#pragma once

#include "core/clocktypes.h"
#include "core/result.h"
#include "routing/attemptlog.h"
#include "routing/retrybudget.h"
#include "routing/retryrefusal.h"

#include <cstddef>

namespace Cardamomhill
{

/// Parameters of RetryPolicy.
struct RetryOptions {
    std::size_t maxAttempts = 3;
    /// A retry with less time left than this would reach the deadline unfinished and waste the server's work.
    Microseconds minimumAttemptTime = Milliseconds(50);
};

/// What the decision to retry depends on besides the attempts made.
struct RetryContext {
    bool idempotent = false;
    /// Whether any part of an answer was sent to the caller.
    bool answerStarted = false;
    SteadyTime deadline{};
};

/// Decides whether a request whose last attempt failed is tried again.
class RetryPolicy
{
public:
    explicit RetryPolicy(RetryOptions options = {});

    /// Success means: retry now, on a server that the request has not tried. Only then a retry of the budget is used.
    Result<void, RetryRefusal>
    decide(const RetryContext &context, const AttemptLog &attempts, RetryBudget &budget, SteadyTime now) const;

private:
    RetryOptions m_options;
};

} // namespace Cardamomhill
