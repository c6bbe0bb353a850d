#include "soak/coldarrivals.h"
#include "soak/ledger.h"
#include "soak/outagerecord.h"
#include "soak/servedshare.h"

#include <doctest/doctest.h>

using namespace Cardamomhill;

namespace
{

std::size_t countViolations(const Ledger &ledger, const std::string &guarantee)
{
    std::size_t count = 0;
    for (const auto &violation : ledger.violations()) {
        count += violation.starts_with(guarantee + ":") ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_CASE("a correct record has no violation")
{
    Ledger ledger;
    ledger.sent("a", CallKind::NonIdempotent, 0);
    ledger.ran("a", "workshop");
    ledger.answered("a", 200);
    ledger.sent("b", CallKind::Idempotent, 0);
    ledger.ran("b", "workshop");
    ledger.ran("b", "workshop");
    ledger.answered("b", 503);
    ledger.sent("c", CallKind::NonIdempotent, 0);
    ledger.answered("c", 503);
    ledger.sent("d", CallKind::NonIdempotent, 0);
    ledger.ran("d", "workshop");
    ledger.unanswered("d", true);
    CHECK(ledger.violations().empty());
    CHECK(ledger.outcomes().at("503") == 2);
    CHECK(ledger.outcomes().at("unanswered") == 1);
}

TEST_CASE("each kind of violation is found")
{
    Ledger ledger;
    ledger.sent("twice", CallKind::NonIdempotent, 0);
    ledger.ran("twice", "workshop");
    ledger.ran("twice", "workshop");
    CHECK(countViolations(ledger, "at most once") == 1);
    ledger.sent("refused", CallKind::NonIdempotent, 0);
    ledger.answered("refused", 503);
    CHECK(countViolations(ledger, "not run") == 0);
    // A call that runs after it was refused counts too.
    ledger.ran("refused", "workshop");
    CHECK(countViolations(ledger, "not run") == 1);
    ledger.ran("never-sent", "workshop");
    CHECK(countViolations(ledger, "unexpected run") == 1);
    ledger.ran("refused", "other");
    CHECK(countViolations(ledger, "unexpected run") == 2);
    ledger.sent("denied", CallKind::Idempotent, 0);
    ledger.answered("denied", 404);
    CHECK(countViolations(ledger, "refused") == 1);
    ledger.sent("lost", CallKind::Idempotent, 0);
    ledger.ran("lost", "workshop");
    ledger.unanswered("lost", false);
    CHECK(countViolations(ledger, "lost") == 1);
    ledger.addViolation("mixed", "x");
    CHECK(countViolations(ledger, "mixed") == 1);
}

// Guards against a check that passes hosts that send a cold server too much, or fails those that keep the limit.
TEST_CASE("more calls to a cold server in a second than its limit are found")
{
    constexpr SteadyTime Start{Seconds(100)};
    ColdArrivals arrivals(3);
    arrivals.setCold("cold", Start + Seconds(3));
    for (const int offset : {0, 400, 1000}) {
        CHECK(arrivals.recordRun("cold", Start + Milliseconds(offset)));
    }
    CHECK_FALSE(arrivals.recordRun("cold", Start + Milliseconds(1000)));
    CHECK(arrivals.recordRun("cold", Start + Milliseconds(2001)));
    CHECK(arrivals.recordRun("cold", Start + Milliseconds(2002)));
    CHECK(arrivals.recordRun("cold", Start + Milliseconds(2003)));
    CHECK_FALSE(arrivals.recordRun("cold", Start + Milliseconds(2004)));
    arrivals.forgetAll();
    CHECK(arrivals.recordRun("cold", Start + Milliseconds(2005)));
    for (int call = 0; call < 10; ++call) {
        CHECK(arrivals.recordRun("cold", Start + Seconds(3)));
        CHECK(arrivals.recordRun("warm", Start));
    }
}

// Guards against calls that run although they were rejected while all servers had stopped.
TEST_CASE("a call of any kind that ran and was rejected in an outage is found")
{
    Ledger ledger;
    ledger.sent("before", CallKind::Stream, 0);
    ledger.ran("before", "workshop");
    ledger.answered("before", 503);
    ledger.setOutage(true);
    ledger.sent("rejected", CallKind::Stream, 0);
    ledger.answered("rejected", 503);
    ledger.sent("failed", CallKind::Stream, 0);
    ledger.ran("failed", "workshop");
    ledger.answered("failed", 504);
    ledger.setOutage(false);
    CHECK(ledger.violations().empty());
    CHECK(ledger.rejectedInOutageCount() == 1);
    ledger.ran("rejected", "workshop");
    CHECK(countViolations(ledger, "outage") == 1);
}

// Guards against callers that come back late enough in an outage, or after it, and are turned away.
TEST_CASE("a retried request that is not served after an outage is found")
{
    constexpr SteadyTime Start{Seconds(100)};
    OutageRecord outages;
    outages.begin(Start);
    outages.end(Start + Seconds(3));
    CHECK(outages.isOut(Start));
    CHECK_FALSE(outages.isOut(Start + Seconds(3)));
    outages.retried("too early", Start + Milliseconds(2499), false);
    outages.retried("served", Start + Milliseconds(2500), true);
    CHECK(outages.violations().empty());
    outages.retried("waited", Start + Milliseconds(2500), false);
    outages.retried("after", Start + Seconds(4), false);
    CHECK(outages.violations().size() == 2);
    CHECK(outages.checkedRetryCount() == 3);
    // The next outage begins while the second of them may be in progress.
    outages.begin(Start + Seconds(6));
    CHECK(outages.violations().size() == 1);
}

// Guards against a kind or an organisation that a surge of others leaves without service.
TEST_CASE("requests of a class that is served less than a quarter as often as all are found")
{
    ServedShare share;
    const auto add = [&share](const std::string &name, int requests, int served) {
        for (int request = 0; request < requests; ++request) {
            share.add({name}, request < served);
        }
    };
    add("many", 100, 80);
    add("some", 100, 20);
    CHECK(share.violations().empty());
    add("few", 100, 5);
    CHECK(share.violations().size() == 1);
    add("unknown", 19, 0);
    CHECK(share.violations().size() == 1);
}
