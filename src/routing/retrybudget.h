#pragma once

#include <cstdint>

namespace Cardamomhill
{

/// Constants of RetryBudget.
struct RetryBudgetOptions {
    /// First attempts that pay for one retry: 10% overhead.
    std::uint32_t attemptsPerRetry = 10;
    /// Retries that may be saved up; also what a new budget holds.
    std::uint32_t burst = 10;
};

/// A token bucket that bounds retries to a part of the first attempts, so that retries cannot overload servers that
/// fail because of load. One for each service, or one failing service would use up the retries of the others.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options = {});

    void recordFirstAttempt();

    /// Changes how many retries may be saved up. A larger burst can be used at once.
    void setBurst(std::uint32_t burst);

    /// Takes the token of one retry, if there is one.
    bool takeRetry();

    bool hasRetry() const;
    /// Retries that could be made now.
    std::uint32_t retriesLeft() const;

private:
    std::uint64_t partsOf(std::uint32_t retries) const;

    RetryBudgetOptions m_options;
    /// In parts of a token: each first attempt adds one, a retry takes `attemptsPerRetry`.
    std::uint64_t m_parts;
};

} // namespace Cardamomhill
