#pragma once

#include "core/clocktypes.h"
#include "core/result.h"
#include "routing/attemptlog.h"
#include "routing/retrybudget.h"
#include "routing/retryrefusal.h"

#include <cstddef>

namespace Cardamomhill
{

/// Constants of RetryPolicy.
struct RetryOptions {
    std::size_t maxAttempts = 3;
    /// A retry with less time left than this would be cut off by the deadline and only cost its server work.
    Microseconds shortestAttempt = Milliseconds(50);
};

/// What the decision to retry depends on, apart from the attempts.
struct RetryQuestion {
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

    /// Success means: retry now, on a server that the request did not try. Takes a token from the budget only then.
    Result<void, RetryRefusal>
    decide(const RetryQuestion &question, const AttemptLog &attempts, RetryBudget &budget, SteadyTime now) const;

private:
    RetryOptions m_options;
};

} // namespace Cardamomhill
