// Guards against calls that are given up at half of their time for a second attempt that nobody can make.

#include "support/gatewayfleet.h"

using namespace Cardamomhill;

namespace
{

constexpr unsigned Ok = 200;

/// A repeatable call that is answered after more than half of its route's timeout of two seconds.
CallResult callSlowly(GatewayFleet &fleet)
{
    CallResult result;
    const auto send = [&]() -> Task<> {
        auto request = GatewayFleet::makeCall("/safe/slow", "slow");
        request.set("X-Delay-Ms", "1400");
        result = co_await fleet.call(0, request);
    };
    fleet.run(send());
    return result;
}

} // namespace

TEST_CASE("a slow answer is waited for if the retry budget allows no second attempt")
{
    GatewayFleet fleet(1, {"good-1", "good-2"}, "retry_ratio: 0\nretry_slack: 0\n");
    const auto result = callSlowly(fleet);
    CHECK(result.status == Ok);
    CHECK(result.isComplete);
    CHECK(fleet.runsOf("slow") == 1);
}

TEST_CASE("a slow answer is waited for if no other server can take the call")
{
    GatewayFleet fleet(1, {"good-1"});
    const auto result = callSlowly(fleet);
    CHECK(result.status == Ok);
    CHECK(result.isComplete);
    CHECK(fleet.runsOf("slow") == 1);
}
