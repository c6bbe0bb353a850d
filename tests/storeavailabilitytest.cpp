#include "objectstore/storeavailability.h"

#include <doctest/doctest.h>

using namespace Cardamomhill;

namespace
{

const SteadyTime Start{Seconds(100)};
constexpr Milliseconds Tick{50};
constexpr Milliseconds ResponseTime{5};
constexpr int Callers = 4;

/// Number of calls that the callers of one process make during an outage in which the store refuses each immediately.
int callsDuringOutage(Seconds outage, std::uint64_t seed)
{
    Random random(seed);
    StoreAvailability availability;
    for (int caller = 0; caller < Callers; ++caller) {
        availability.onFailure(Start, random);
    }
    int calls = 0;
    for (auto now = Start; now < Start + outage; now += Tick) {
        for (int caller = 0; caller < Callers; ++caller) {
            if (availability.tryBeginCall(now)) {
                ++calls;
                availability.onFailure(now + ResponseTime, random);
            }
        }
    }
    return calls;
}

} // namespace

TEST_CASE("while the store is unavailable the callers of a process share its probes")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const int calls = callsDuringOutage(Seconds(10), seed);
        CHECK(calls >= 5);
        // Four doubling steps, then one call every 0.95 to 1.9 s.
        CHECK(calls <= 4 + 10);
    }
}

TEST_CASE("the return of the store is detected within two seconds, and then all callers may call")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Random random(seed);
        StoreAvailability availability;
        availability.onFailure(Start, random);
        const auto availableAt = Start + Seconds(10);
        auto now = Start;
        while (availability.isUnavailable()) {
            if (availability.tryBeginCall(now)) {
                now < availableAt ? availability.onFailure(now, random) : availability.onSuccess();
            }
            now += Tick;
            REQUIRE(now < availableAt + Seconds(2));
        }
        for (int caller = 0; caller < Callers; ++caller) {
            CHECK(availability.tryBeginCall(now));
        }
    }
}

TEST_CASE("a probe that never ends does not prevent later probes")
{
    Random random(1);
    StoreAvailability availability;
    availability.onFailure(Start, random);
    const auto later = Start + Seconds(1);
    REQUIRE(availability.tryBeginCall(later));
    CHECK_FALSE(availability.tryBeginCall(later + Seconds(2)));
    CHECK(availability.tryBeginCall(later + Seconds(3)));
}

TEST_CASE("failures of calls in progress when the store became unavailable do not delay the probe")
{
    Random random(1);
    StoreAvailability availability;
    availability.onFailure(Start, random);
    for (int i = 0; i < 10; ++i) {
        availability.onFailure(Start + Milliseconds(90), random);
    }
    CHECK(availability.tryBeginCall(Start + StoreAvailabilityOptions().firstProbeDelay));
}

TEST_CASE("observers are notified once per outage, so that calls to an unresponsive store can be aborted")
{
    Random random(1);
    StoreAvailability availability;
    int notifications = 0;
    availability.onUnavailable([&notifications] { ++notifications; });
    availability.onFailure(Start, random);
    availability.onFailure(Start + Milliseconds(10), random);
    REQUIRE(availability.tryBeginCall(Start + Seconds(1)));
    availability.onFailure(Start + Seconds(1), random);
    CHECK(notifications == 1);
    availability.onSuccess();
    availability.onFailure(Start + Seconds(9), random);
    CHECK(notifications == 2);
}

TEST_CASE("the return of an unresponsive store, whose probes end only by timeout, is detected within two seconds")
{
    constexpr Milliseconds CallTimeout{1500};
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        Random random(seed);
        StoreAvailability availability;
        availability.onFailure(Start, random);
        const auto availableAt = Start + Seconds(9) + Milliseconds(seed * 10);
        auto now = Start;
        while (availability.isUnavailable()) {
            if (availability.tryBeginCall(now)) {
                // A call sent during the outage is never answered.
                const bool isAnswered = now >= availableAt;
                isAnswered ? availability.onSuccess() : availability.onFailure(now + CallTimeout, random);
                now += isAnswered ? ResponseTime : CallTimeout;
            } else {
                now += Tick;
            }
            REQUIRE(now < availableAt + Seconds(2));
        }
    }
}
