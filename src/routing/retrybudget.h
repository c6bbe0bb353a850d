#pragma once

#include <cstdint>

namespace Cardamomhill
{

/// Parameters of RetryBudget.
struct RetryBudgetOptions {
    /// First attempts that allow one retry: 10% overhead.
    std::uint32_t attemptsPerRetry = 10;
    /// Capacity of the bucket in retries; a new budget is full.
    std::uint32_t burst = 10;
};

/// A token bucket that limits retries to a fraction of the first attempts, so that retries do not overload servers that
/// fail because of load. Each service has its own, or one failing service would use up the retries of the others.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options = {});

    void recordFirstAttempt();

    /// Changes the capacity of the bucket. The retries added by a larger burst are available at once.
    void setBurst(std::uint32_t burst);

    /// Consumes the token of one retry; returns false if there is none.
    bool tryTakeToken();

    bool hasRetry() const;
    /// Number of retries available now.
    std::uint32_t retriesLeft() const;

private:
    std::uint64_t creditsFor(std::uint32_t retries) const;

    RetryBudgetOptions m_options;
    /// Fractions of a token: each first attempt adds 1, a retry costs `attemptsPerRetry`.
    std::uint64_t m_credits;
};

} // namespace Cardamomhill
