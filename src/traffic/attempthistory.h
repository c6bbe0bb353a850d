#pragma once

#include "core/clocktypes.h"
#include "traffic/attemptend.h"
#include "traffic/retryverdict.h"

#include <cstddef>
#include <vector>

namespace Cardamomhill
{

class RetryBudget;
struct Route;

/// Records how the attempts of one call ended and decides whether another one is allowed.
class AttemptHistory
{
public:
    void add(AttemptEnd end);

    std::size_t count() const;
    /// Attempts that reached a server of the service: all but NotSent, Withdrawn and OtherInstance.
    std::size_t sentCount() const;

    /// Whether it is certain that no attempt ran the call.
    bool isCertainlyNotRun() const;

    /// Whether the route would allow another attempt if the current one ended as given. Ignores the retry budget.
    bool allowsRetryAfter(AttemptEnd end, const Route &route, Milliseconds left) const;

    /// Whether a retry now is charged to the retry budget: the last attempt reached a server.
    bool isRetryCharged() const;

    /// Decides like retry(), but without the budget: for a retry that was charged to it before.
    RetryVerdict evaluate(const Route &route, Milliseconds left) const;

    /// Decides whether to retry after an attempt without a complete answer. The retry is charged to the budget,
    /// unless the last attempt reached no server and so added no load to one.
    RetryVerdict retry(const Route &route, Milliseconds left, RetryBudget &budget, SteadyTime now) const;

private:
    std::vector<AttemptEnd> m_ends;
};

} // namespace Cardamomhill
