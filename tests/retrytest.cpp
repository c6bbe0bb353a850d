#include "routing/routing.h"

#include "core/random.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace Cardamomhill
{

namespace
{

constexpr std::uint32_t RETRY_BURST = 5;
constexpr std::uint32_t ATTEMPTS_PER_RETRY = 10;

/// Whether more retries were granted in any window of a random sequence than burst and first attempts allow.
bool exceedsRetryBudget(RetryBudgetOptions options, std::uint64_t seed)
{
    Random random(seed);
    RetryBudget budget(options);
    // Ten times the number of granted retries minus the number of first attempts, after each event.
    std::vector<std::int64_t> excess{0};
    for (int event = 0; event < 400; ++event) {
        if (random() % 4 == 0) {
            excess.push_back(excess.back() + (budget.tryTakeToken() ? ATTEMPTS_PER_RETRY : 0));
        } else {
            budget.recordFirstAttempt();
            excess.push_back(excess.back() - 1);
        }
    }
    std::int64_t lowest = 0;
    bool exceeded = false;
    for (const std::int64_t value : excess) {
        lowest = std::min(lowest, value);
        exceeded = exceeded || value - lowest > std::int64_t{RETRY_BURST} * ATTEMPTS_PER_RETRY;
    }
    return exceeded;
}

/// Seeded fault: reports the outcome of the last attempt as that of the request.
class LastAttemptLog
{
public:
    std::size_t start()
    {
        m_log = AttemptLog();
        m_log.start();
        return m_count++;
    }

    void end(std::size_t attempt, RequestOutcome outcome)
    {
        if (attempt + 1 == m_count) {
            m_log.end(0, outcome);
        }
    }

    RequestOutcome outcome() const
    {
        return m_log.outcome();
    }

private:
    AttemptLog m_log;
    std::size_t m_count = 0;
};

/// Reports the ends of attempts in any order, repeatedly or never. Returns whether the log at any time excludes an
/// execution although an attempt may have been executed.
template<class Log>
bool claimsMoreThanProven(std::uint64_t seed)
{
    Random random(seed);
    Log log;
    std::vector<std::optional<RequestOutcome>> actualOutcomes;
    for (int step = 0; step < 12; ++step) {
        if (actualOutcomes.empty() || random() % 3 == 0) {
            log.start();
            actualOutcomes.emplace_back();
        } else {
            const std::size_t attempt = random() % actualOutcomes.size();
            if (!actualOutcomes[attempt]) {
                actualOutcomes[attempt] = static_cast<RequestOutcome>(random() % 5);
            }
            log.end(attempt, *actualOutcomes[attempt]);
        }
        for (const auto &outcome : actualOutcomes) {
            const bool mayHaveRun
                = !outcome || *outcome == RequestOutcome::Unknown || *outcome == RequestOutcome::Completed;
            const bool claimsNone = log.outcome() == RequestOutcome::NotRun || log.outcome() == RequestOutcome::NotSent
                || log.outcome() == RequestOutcome::Rejected;
            if (mayHaveRun && claimsNone) {
                return true;
            }
            if (outcome == RequestOutcome::Rejected && log.outcome() == RequestOutcome::NotRun) {
                return true;
            }
        }
    }
    return false;
}

} // namespace

TEST_CASE("the retries added by a larger burst are available at once, and a smaller burst removes the excess")
{
    RetryBudgetOptions options;
    options.burst = 1;
    RetryBudget budget(options);
    CHECK(budget.tryTakeToken());
    CHECK_FALSE(budget.tryTakeToken());
    budget.setBurst(3);
    CHECK(budget.tryTakeToken());
    CHECK(budget.tryTakeToken());
    CHECK_FALSE(budget.tryTakeToken());
    budget.setBurst(5);
    budget.setBurst(1);
    CHECK(budget.tryTakeToken());
    CHECK_FALSE(budget.tryTakeToken());
}

TEST_CASE("retries stay within burst and 10% of the first attempts over any window")
{
    CHECK(rc::check("the budget is never exceeded", [](std::uint64_t seed) {
        RC_ASSERT_FALSE(exceedsRetryBudget({ATTEMPTS_PER_RETRY, RETRY_BURST}, seed));
    }));
    // Seeded faults: a retry costs too little; the bucket holds too much.
    CHECK(exceedsRetryBudget({ATTEMPTS_PER_RETRY - 3, RETRY_BURST}, 20261204));
    CHECK(exceedsRetryBudget({ATTEMPTS_PER_RETRY, RETRY_BURST + 1}, 20261204));
}

TEST_CASE("a request is never reported as not run when one of its attempts may have run")
{
    CHECK(rc::check("outcomes claim no more than all attempts prove",
                    [](std::uint64_t seed) { RC_ASSERT_FALSE(claimsMoreThanProven<AttemptLog>(seed)); }));
    std::size_t found = 0;
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        found += claimsMoreThanProven<LastAttemptLog>(seed) ? 1 : 0;
    }
    CHECK(found > 0);
}

TEST_CASE("a late answer completes a request, but a late \"not run\" does not replace an unknown outcome")
{
    AttemptLog log;
    log.end(log.start(), RequestOutcome::Unknown);
    log.end(0, RequestOutcome::NotRun);
    CHECK(log.outcome() == RequestOutcome::Unknown);
    log.end(0, RequestOutcome::Completed);
    CHECK(log.outcome() == RequestOutcome::Completed);
    AttemptLog refused;
    refused.end(refused.start(), RequestOutcome::NotSent);
    CHECK(refused.outcome() == RequestOutcome::NotSent);
    refused.end(refused.start(), RequestOutcome::NotRun);
    CHECK(refused.outcome() == RequestOutcome::NotRun);
}

TEST_CASE("a retry that could repeat work, follow a partial answer or miss the deadline is refused and costs no token")
{
    const RetryPolicy policy;
    RetryBudget budget({ATTEMPTS_PER_RETRY, 1});
    AttemptLog log;
    log.end(log.start(), RequestOutcome::Unknown);
    const SteadyTime now{Seconds(1)};
    const RetryContext allowed{true, false, now + Milliseconds(50)};
    const auto refusal = [&](RetryContext context) { return policy.decide(context, log, budget, now).error().code; };
    CHECK(refusal({false, false, now + Seconds(9)}) == RetryRefusalCode::NotIdempotent);
    CHECK(refusal({true, true, now + Seconds(9)}) == RetryRefusalCode::AnswerStarted);
    CHECK(refusal({true, false, now + Milliseconds(49)}) == RetryRefusalCode::DeadlineTooClose);
    CHECK(policy.decide(allowed, log, budget, now).has_value());
    CHECK(refusal(allowed) == RetryRefusalCode::BudgetEmpty);
    log.start();
    log.start();
    CHECK(refusal(allowed) == RetryRefusalCode::TooManyAttempts);
}

} // namespace Cardamomhill
