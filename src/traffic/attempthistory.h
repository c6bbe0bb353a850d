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

/// The attempts of one call, and what follows from them.
class AttemptHistory
{
public:
    void add(AttemptEnd end);

    std::size_t count() const;
    /// Attempts that reached a server of the service.
    std::size_t sentCount() const;

    /// Whether it is certain that no attempt ran.
    bool isCertainlyNotRun() const;

    /// Whether the route would allow a further attempt if the present one ended so. The budget is asked by retry().
    bool mayAttemptAfter(AttemptEnd end, const Route &route, Milliseconds left) const;

    /// Decides after an attempt that gave no whole answer, and takes from the budget for a retry that a server sees.
    RetryVerdict retry(const Route &route, Milliseconds left, RetryBudget &budget) const;

private:
    RetryVerdict check(const Route &route, Milliseconds left) const;

    std::vector<AttemptEnd> m_ends;
};

} // namespace Cardamomhill
