#include "traffic/serviceoutage.h"

#include <doctest/doctest.h>

using namespace Cardamomhill;

namespace
{

constexpr SteadyTime Start{Seconds(100)};
constexpr Milliseconds Silence{500};

/// Notices outages after `Silence`.
ServiceOutage outage()
{
    ServiceOutageOptions options;
    options.silence = Silence;
    return ServiceOutage(options);
}

/// An outage that began at `Start` and was noticed by failed calls.
ServiceOutage begunOutage(Microseconds lastFailure = Silence)
{
    auto result = outage();
    result.recordProgress(Start);
    result.recordFailure(Start);
    result.recordFailure(Start + lastFailure);
    return result;
}

} // namespace

TEST_CASE("calls that fail at some servers while others send events are no outage")
{
    auto service = outage();
    for (auto now = Start; now < Start + Seconds(5); now += Milliseconds(100)) {
        service.recordFailure(now);
        service.recordProgress(now);
        service.recordFailure(now);
        service.recordFailure(now);
        CHECK_FALSE(service.isOut(now));
    }
}

TEST_CASE("a host without streams takes one failed call for no outage")
{
    auto service = outage();
    service.recordFailure(Start);
    CHECK_FALSE(service.isOut(Start + Seconds(1)));
    // Nor two that are far apart.
    service.recordFailure(Start + Seconds(20));
    CHECK_FALSE(service.isOut(Start + Seconds(20)));
    service.recordFailure(Start + Seconds(21));
    CHECK(service.isOut(Start + Seconds(21)));
}

TEST_CASE("calls that fail at one moment at a host without streams are no outage before others can have been answered")
{
    constexpr Milliseconds FirstEvent{200};
    auto service = outage();
    for (int i = 0; i < 5; ++i) {
        service.recordFailure(Start);
    }
    CHECK_FALSE(service.isOut(Start));
    CHECK_FALSE(service.isOut(Start + FirstEvent));
    service.recordProgress(Start + FirstEvent);
    CHECK_FALSE(service.isOut(Start + Seconds(1)));
}

TEST_CASE("a service that sends nothing while calls fail is noticed after the silence, and only then")
{
    const auto service = begunOutage();
    CHECK_FALSE(service.isOut(Start + Silence - Milliseconds(1)));
    CHECK(service.isOut(Start + Silence));
    // Nothing failed lately: there may be no calls.
    CHECK_FALSE(service.isOut(Start + Seconds(10)));
}

TEST_CASE("one event ends an outage, and the rate of calls is unknown for a while")
{
    auto service = begunOutage();
    const auto end = Start + Seconds(2);
    CHECK(service.isOut(end));
    CHECK_FALSE(service.isRecovering(end));
    service.recordProgress(end);
    CHECK_FALSE(service.isOut(end));
    CHECK(service.isRecovering(end + Seconds(1)));
    CHECK_FALSE(service.isRecovering(end + Seconds(10)));
}

TEST_CASE("few calls are sent to servers that do not answer")
{
    auto service = begunOutage();
    int probes = 0;
    for (auto now = Start + Silence; now < Start + Seconds(2); now += Milliseconds(10)) {
        probes += service.tryProbe(now) ? 1 : 0;
    }
    CHECK(probes >= 2);
    CHECK(probes <= 4);
}

TEST_CASE("calls do not wait for the end of an outage that has lasted many times as long as they can wait")
{
    const auto service = begunOutage();
    CHECK(service.isWorthWaiting(Seconds(1), Start + Seconds(5)));
    CHECK_FALSE(service.isWorthWaiting(Seconds(1), Start + Seconds(30)));
}

TEST_CASE("outages are not noticed without a bound on the silence")
{
    ServiceOutage service;
    CHECK_FALSE(service.isEnabled());
    service.recordFailure(Start);
    service.recordFailure(Start);
    CHECK_FALSE(service.isOut(Start + Seconds(1)));
}

TEST_CASE("the end of an outage is noticed although the last failure is long ago")
{
    // While calls are refused at once, few of them fail.
    auto service = begunOutage();
    service.recordFailure(Start + Silence + Milliseconds(1));
    const auto end = Start + Seconds(10);
    CHECK_FALSE(service.isOut(end));
    service.recordProgress(end);
    CHECK(service.isRecovering(end + Seconds(1)));
    service.recordProgress(end + Seconds(5));
    CHECK_FALSE(service.isRecovering(end + Seconds(6)));
}
