#pragma once

#include "core/clocktypes.h"
#include "routing/slidingcount.h"

#include <cstdint>

namespace Cardamomhill
{

/// Parameters of RetryBudget.
struct RetryBudgetOptions {
    /// Retries that each first attempt of the window pays for: 10% overhead.
    double ratio = 0.1;
    /// Retries in each window beyond those. A fraction if many processes share few of them.
    double slack = 10;
    Microseconds window = Seconds(10);
};

/// Limits retries to a fraction of the first attempts and a slack in any window of time, so that retries do not
/// overload servers that fail because of load. Each service has its own, or one failing service would use up the
/// retries of the others.
///
/// The slack belongs to a host rather than to a process: the process before this one may have spent it in the same
/// window. So a process that follows another one has only what its calls pay for until it is older than the window.
class RetryBudget
{
public:
    /// @param slackFrom when the slack is granted
    RetryBudget(RetryBudgetOptions options, SteadyTime slackFrom);

    void recordFirstAttempt(SteadyTime now);

    void setSlack(double slack);
    void setSlackFrom(SteadyTime slackFrom);

    /// Consumes one retry; returns false if none is left.
    bool tryTakeRetry(SteadyTime now);

    bool hasRetry(SteadyTime now) const;
    /// Number of retries available now.
    std::uint32_t retriesLeft(SteadyTime now) const;

private:
    RetryBudgetOptions m_options;
    SteadyTime m_slackFrom;
    SlidingCount m_firstAttempts;
    SlidingCount m_retries;
};

} // namespace Cardamomhill
