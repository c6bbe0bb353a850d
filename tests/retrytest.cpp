#include "routing/routing.h"

#include "core/random.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace Cardamomhill
{

namespace
{

constexpr double RetrySlack = 5;
constexpr double RetryRatio = 0.1;
constexpr Milliseconds Window{10000};
const SteadyTime Start{Seconds(100)};
/// When the slack of a process that started then is granted, if it has a predecessor.
const SteadyTime SlackGranted = Start + Window;

RetryBudgetOptions optionsWith(double ratio, double slack)
{
    return {ratio, slack, Window};
}

std::size_t countWithin(const std::vector<SteadyTime> &times, SteadyTime begin)
{
    return static_cast<std::size_t>(std::count_if(
        times.begin(), times.end(), [begin](SteadyTime time) { return time >= begin && time < begin + Window; }));
}

/// First attempts and retries of one service at all hosts.
struct FleetTraffic {
    std::vector<SteadyTime> firstAttempts;
    std::vector<SteadyTime> retries;

    /// Whether any window has more retries than the first attempts in it, half a window before or a window before, and
    /// the slack allow.
    bool exceeds(double ratio, double slack) const
    {
        return std::any_of(retries.begin(), retries.end(), [&](SteadyTime begin) {
            std::size_t paying = 0;
            for (const auto shift : {Milliseconds(0), Window / 2, Window}) {
                paying = std::max(paying, countWithin(firstAttempts, begin - shift));
            }
            return static_cast<double>(countWithin(retries, begin)) > ratio * static_cast<double>(paying) + slack;
        });
    }
};

/// How the hosts of a fleet restart.
struct Restarts {
    /// Out of a thousand events.
    std::uint64_t perMille = 0;
    /// Seeded fault: a process that starts has the budget of one that has run for long.
    bool grantSlackAtOnce = false;
};

/// Plays a fleet whose hosts restart at random, under first attempts and retries at random, each host with its share of
/// the slack.
FleetTraffic playFleet(std::size_t hosts, RetryBudgetOptions share, Restarts restarts, std::uint64_t seed)
{
    Random random(seed);
    FleetTraffic traffic;
    std::vector<RetryBudget> budgets(hosts, RetryBudget(share, Start));
    auto now = SlackGranted;
    for (int event = 0; event < 3000; ++event) {
        now += Milliseconds(random() % 20);
        auto &budget = budgets[random() % hosts];
        if (random() % 1000 < restarts.perMille) {
            budget = RetryBudget(share, restarts.grantSlackAtOnce ? now : now + Window);
        } else if (random() % 2 == 0) {
            budget.recordFirstAttempt(now);
            traffic.firstAttempts.push_back(now);
        } else if (budget.tryTakeRetry(now)) {
            traffic.retries.push_back(now);
        }
    }
    return traffic;
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

TEST_CASE("a larger slack is available at once, and a smaller one holds at once")
{
    RetryBudget budget(optionsWith(0, 1), Start);
    CHECK(budget.tryTakeRetry(SlackGranted));
    CHECK_FALSE(budget.tryTakeRetry(SlackGranted));
    budget.setSlack(3);
    CHECK(budget.tryTakeRetry(SlackGranted));
    CHECK(budget.tryTakeRetry(SlackGranted));
    CHECK_FALSE(budget.tryTakeRetry(SlackGranted));
    budget.setSlack(5);
    budget.setSlack(4);
    CHECK(budget.tryTakeRetry(SlackGranted));
    CHECK_FALSE(budget.tryTakeRetry(SlackGranted));
}

TEST_CASE("a process has only the retries that its calls pay for until its slack is granted")
{
    RetryBudget budget(optionsWith(RetryRatio, RetrySlack), SlackGranted);
    const auto before = SlackGranted - Milliseconds(1);
    CHECK_FALSE(budget.hasRetry(before));
    for (int call = 0; call < 20; ++call) {
        budget.recordFirstAttempt(before);
    }
    CHECK(budget.retriesLeft(before) == 2);
    CHECK(budget.retriesLeft(SlackGranted) == 2 + RetrySlack);
    RetryBudget first(optionsWith(RetryRatio, RetrySlack), SlackGranted);
    first.setSlackFrom(Start);
    CHECK(first.retriesLeft(Start) == RetrySlack);
}

TEST_CASE("what calls paid for and what was spent leave the window together")
{
    RetryBudget budget(optionsWith(RetryRatio, 1), Start);
    for (int call = 0; call < 30; ++call) {
        budget.recordFirstAttempt(SlackGranted);
    }
    while (budget.tryTakeRetry(SlackGranted)) { }
    CHECK(budget.retriesLeft(SlackGranted + Window - Seconds(1)) == 0);
    CHECK(budget.retriesLeft(SlackGranted + 2 * Window) == 1);
}

TEST_CASE("retries of a fleet whose hosts restart stay within the slack and a fraction of the first attempts")
{
    constexpr std::size_t Hosts = 12;
    constexpr double FleetSlack = Hosts * RetrySlack;
    CHECK(rc::check("the budget is never exceeded", [](std::uint64_t seed) {
        const auto share = optionsWith(RetryRatio, RetrySlack);
        RC_ASSERT_FALSE(playFleet(Hosts, share, {seed % 60}, seed).exceeds(RetryRatio, FleetSlack));
    }));
    const auto exceeds = [](double ratio, double slack, Restarts restarts) {
        return playFleet(Hosts, optionsWith(ratio, slack), restarts, 20261204).exceeds(RetryRatio, FleetSlack);
    };
    // Seeded faults: a retry costs too little; the slack is too large; each start grants it again.
    CHECK(exceeds(3 * RetryRatio, RetrySlack, {}));
    CHECK(exceeds(RetryRatio, 2 * RetrySlack, {}));
    CHECK(exceeds(RetryRatio, RetrySlack, {50, true}));
}

TEST_CASE("hosts that share fewer retries than they are make no more than those")
{
    constexpr std::size_t Hosts = 50;
    constexpr double FleetSlack = 10;
    const auto traffic = playFleet(Hosts, optionsWith(RetryRatio, FleetSlack / Hosts), {2}, 20261205);
    CHECK_FALSE(traffic.exceeds(RetryRatio, FleetSlack));
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
    RetryBudget budget(optionsWith(RetryRatio, 1), SteadyTime());
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
