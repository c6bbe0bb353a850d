#include "soak/coldarrivals.h"
#include "soak/ledger.h"

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
