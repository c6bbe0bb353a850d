#include "traffic/reachability.h"

#include <doctest/doctest.h>

using namespace Cardamomhill;

namespace
{

const SteadyTime Start{Seconds(100)};
const FailureDomainId Own("own");
const FailureDomainId Near("near");
const FailureDomainId Far("far");

} // namespace

TEST_CASE("a domain is unreachable if its notices stop while others arrive")
{
    Reachability reachability(Own);
    reachability.recordNotice(Near, Start);
    reachability.recordNotice(Far, Start);
    CHECK(reachability.unreachable(Start + Seconds(1)).empty());
    reachability.recordNotice(Near, Start + Seconds(2));
    CHECK(reachability.unreachable(Start + Seconds(2)) == std::set{Far});
    reachability.recordNotice(Far, Start + Seconds(3));
    reachability.recordNotice(Near, Start + Seconds(3));
    CHECK(reachability.unreachable(Start + Seconds(3)).empty());
}

TEST_CASE("a host is isolated only if all other domains are unreachable")
{
    Reachability reachability(Own);
    CHECK_FALSE(reachability.isIsolated(Start));
    reachability.recordNotice(Own, Start);
    reachability.recordNotice(Near, Start);
    reachability.recordNotice(Far, Start);
    reachability.recordNotice(Own, Start + Seconds(2));
    reachability.recordNotice(Near, Start + Seconds(2));
    CHECK_FALSE(reachability.isIsolated(Start + Seconds(2)));
    reachability.recordNotice(Own, Start + Seconds(5));
    CHECK(reachability.isIsolated(Start + Seconds(5)));
    CHECK(reachability.unreachable(Start + Seconds(5)) == std::set{Far, Near});
}

TEST_CASE("all domains stay reachable if no notices arrive at all")
{
    Reachability reachability(Own);
    reachability.recordNotice(Near, Start);
    reachability.recordNotice(Far, Start);
    CHECK(reachability.unreachable(Start + Seconds(10)).empty());
}

TEST_CASE("a domain without notices is reachable if its servers accept connections")
{
    Reachability reachability(Own);
    reachability.recordNotice(Near, Start + Seconds(5));
    reachability.recordNotice(Far, Start);
    reachability.recordConnectionAttempt(Far, true, Start + Seconds(5));
    CHECK(reachability.unreachable(Start + Seconds(5)).empty());
}

TEST_CASE("consecutive failed connections make a domain unreachable until the next retry")
{
    Reachability reachability(Own);
    for (int i = 0; i < 3; ++i) {
        reachability.recordConnectionAttempt(Far, false, Start);
    }
    CHECK(reachability.unreachable(Start) == std::set{Far});
    CHECK(reachability.unreachable(Start + Seconds(2)).empty());
    reachability.recordConnectionAttempt(Far, true, Start + Seconds(2));
    reachability.recordConnectionAttempt(Far, false, Start + Seconds(2));
    CHECK(reachability.unreachable(Start + Seconds(2)).empty());
}
