#include "objectstore/storecontact.h"

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
    StoreContact contact;
    for (int caller = 0; caller < Callers; ++caller) {
        contact.failed(Start, random);
    }
    int calls = 0;
    for (auto now = Start; now < Start + outage; now += Tick) {
        for (int caller = 0; caller < Callers; ++caller) {
            if (contact.mayCall(now)) {
                ++calls;
                contact.failed(now + ResponseTime, random);
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
        StoreContact contact;
        contact.failed(Start, random);
        const auto availableAt = Start + Seconds(10);
        auto now = Start;
        while (contact.isLost()) {
            if (contact.mayCall(now)) {
                now < availableAt ? contact.failed(now, random) : contact.succeeded();
            }
            now += Tick;
            REQUIRE(now < availableAt + Seconds(2));
        }
        for (int caller = 0; caller < Callers; ++caller) {
            CHECK(contact.mayCall(now));
        }
    }
}

TEST_CASE("a probe that never ends does not prevent later probes")
{
    Random random(1);
    StoreContact contact;
    contact.failed(Start, random);
    const auto later = Start + Seconds(1);
    REQUIRE(contact.mayCall(later));
    CHECK_FALSE(contact.mayCall(later + Seconds(2)));
    CHECK(contact.mayCall(later + Seconds(3)));
}

TEST_CASE("failures of calls in progress when the store became unavailable do not delay the probe")
{
    Random random(1);
    StoreContact contact;
    contact.failed(Start, random);
    for (int i = 0; i < 10; ++i) {
        contact.failed(Start + Milliseconds(90), random);
    }
    CHECK(contact.mayCall(Start + StoreContactOptions().firstProbeDelay));
}

TEST_CASE("observers are notified once per outage, so that calls to an unresponsive store can be aborted")
{
    Random random(1);
    StoreContact contact;
    int notifications = 0;
    contact.onLost([&notifications] { ++notifications; });
    contact.failed(Start, random);
    contact.failed(Start + Milliseconds(10), random);
    REQUIRE(contact.mayCall(Start + Seconds(1)));
    contact.failed(Start + Seconds(1), random);
    CHECK(notifications == 1);
    contact.succeeded();
    contact.failed(Start + Seconds(9), random);
    CHECK(notifications == 2);
}

TEST_CASE("the return of an unresponsive store, whose probes end only by timeout, is detected within two seconds")
{
    constexpr Milliseconds CallTimeout{1500};
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        Random random(seed);
        StoreContact contact;
        contact.failed(Start, random);
        const auto availableAt = Start + Seconds(9) + Milliseconds(seed * 10);
        auto now = Start;
        while (contact.isLost()) {
            if (contact.mayCall(now)) {
                // A call sent during the outage is never answered.
                const bool isAnswered = now >= availableAt;
                isAnswered ? contact.succeeded() : contact.failed(now + CallTimeout, random);
                now += isAnswered ? ResponseTime : CallTimeout;
            } else {
                now += Tick;
            }
            REQUIRE(now < availableAt + Seconds(2));
        }
    }
}
