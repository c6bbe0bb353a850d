#include "traffic/attempthistory.h"
#include "routing/retrybudget.h"
#include "traffic/route.h"

#include <doctest/doctest.h>

using namespace Cardamomhill;

namespace
{

constexpr Milliseconds Left{1000};
const SteadyTime Now{Seconds(100)};

/// A budget of a process that has run for long.
RetryBudget budgetOf(double retries)
{
    RetryBudgetOptions options;
    options.slack = retries;
    return RetryBudget(options, Now - 2 * options.window);
}

Route route(CallKind kind, std::uint32_t limit, bool isResumable = false)
{
    Route result;
    result.kind = kind;
    result.attemptLimit = limit;
    result.isResumable = isResumable;
    return result;
}

RetryVerdict verdictAfter(const Route &route, std::initializer_list<AttemptEnd> ends, Milliseconds left = Left)
{
    AttemptHistory history;
    for (const auto end : ends) {
        history.add(end);
    }
    auto budget = budgetOf(10);
    return history.retry(route, left, budget, Now);
}

} // namespace

TEST_CASE("a call that must not be repeated is retried only if it certainly did not run")
{
    const auto payment = route(CallKind::NonIdempotent, 3);
    CHECK(verdictAfter(payment, {AttemptEnd::NotSent}) == RetryVerdict::Retry);
    CHECK(verdictAfter(payment, {AttemptEnd::Withdrawn}) == RetryVerdict::Retry);
    CHECK(verdictAfter(payment, {AttemptEnd::NotRun}) == RetryVerdict::Retry);
    CHECK(verdictAfter(payment, {AttemptEnd::OtherInstance}) == RetryVerdict::Retry);
    for (const auto end : {AttemptEnd::Broken, AttemptEnd::TimedOut, AttemptEnd::ServerError}) {
        CHECK(verdictAfter(payment, {end}) == RetryVerdict::NotRepeatable);
        CHECK(verdictAfter(payment, {end, AttemptEnd::NotSent}) == RetryVerdict::NotRepeatable);
    }
    CHECK(verdictAfter(route(CallKind::Stream, 3), {AttemptEnd::Broken}) == RetryVerdict::NotRepeatable);
    CHECK(verdictAfter(route(CallKind::Stream, 3, true), {AttemptEnd::Broken}) == RetryVerdict::Retry);
}

TEST_CASE("the route limits attempts that reached a server, a constant limits all attempts")
{
    const auto lookup = route(CallKind::Idempotent, 2);
    CHECK(verdictAfter(lookup, {AttemptEnd::Broken}) == RetryVerdict::Retry);
    CHECK(verdictAfter(lookup, {AttemptEnd::Broken, AttemptEnd::NotRun}) == RetryVerdict::AttemptsUsed);
    CHECK(verdictAfter(lookup, {AttemptEnd::NotSent, AttemptEnd::Broken}) == RetryVerdict::Retry);
    const auto unsent = AttemptEnd::NotSent;
    CHECK(verdictAfter(lookup, {unsent, unsent, unsent, unsent, unsent, unsent}) == RetryVerdict::AttemptsUsed);
}

TEST_CASE("there is no retry without enough time or with an empty budget")
{
    const auto lookup = route(CallKind::Idempotent, 5);
    CHECK(verdictAfter(lookup, {AttemptEnd::Broken}, Milliseconds(5)) == RetryVerdict::TooLate);
    AttemptHistory history;
    history.add(AttemptEnd::Broken);
    auto budget = budgetOf(1);
    CHECK(history.retry(lookup, Left, budget, Now) == RetryVerdict::Retry);
    CHECK(history.retry(lookup, Left, budget, Now) == RetryVerdict::BudgetEmpty);
    AttemptHistory unsent;
    unsent.add(AttemptEnd::NotSent);
    CHECK(unsent.retry(lookup, Left, budget, Now) == RetryVerdict::Retry);
    unsent.add(AttemptEnd::Withdrawn);
    CHECK(unsent.retry(lookup, Left, budget, Now) == RetryVerdict::Retry);
}

TEST_CASE("a retry after another instance refused the call takes from the budget, since a server was reached")
{
    AttemptHistory history;
    history.add(AttemptEnd::OtherInstance);
    auto budget = budgetOf(1);
    const auto lookup = route(CallKind::Idempotent, 5);
    CHECK(history.retry(lookup, Left, budget, Now) == RetryVerdict::Retry);
    CHECK(history.retry(lookup, Left, budget, Now) == RetryVerdict::BudgetEmpty);
}

TEST_CASE("a call is certain not to have run only if none of its attempts may have run it")
{
    AttemptHistory history;
    CHECK(history.isCertainlyNotRun());
    history.add(AttemptEnd::NotRun);
    history.add(AttemptEnd::NotSent);
    CHECK(history.isCertainlyNotRun());
    history.add(AttemptEnd::TimedOut);
    CHECK_FALSE(history.isCertainlyNotRun());
}
