#include "objectstore/storecontact.h"

#include <doctest/doctest.h>

using namespace Cardamomhill;

namespace
{

const SteadyTime Start{Seconds(100)};
constexpr Milliseconds Tick{50};
constexpr Milliseconds AnswerTime{5};
constexpr int Callers = 4;

/// Calls that the callers of one process make to a store that is away for some time and refuses each of them at once.
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
                contact.failed(now + AnswerTime, random);
            }
        }
    }
    return calls;
}

} // namespace

TEST_CASE("callers of a process that lost the store share its probes")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const int calls = callsDuringOutage(Seconds(10), seed);
        CHECK(calls >= 5);
        // Four doubling steps, then one call in 0.95 to 1.9 s.
        CHECK(calls <= 4 + 10);
    }
}

TEST_CASE("a store that is back is noticed within two seconds, and then all may call")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Random random(seed);
        StoreContact contact;
        contact.failed(Start, random);
        const auto back = Start + Seconds(10);
        auto now = Start;
        while (contact.isLost()) {
            if (contact.mayCall(now)) {
                now < back ? contact.failed(now, random) : contact.succeeded();
            }
            now += Tick;
            REQUIRE(now < back + Seconds(2));
        }
        for (int caller = 0; caller < Callers; ++caller) {
            CHECK(contact.mayCall(now));
        }
    }
}

TEST_CASE("a probe that never ends does not keep the others from probing")
{
    Random random(1);
    StoreContact contact;
    contact.failed(Start, random);
    const auto later = Start + Seconds(1);
    REQUIRE(contact.mayCall(later));
    CHECK_FALSE(contact.mayCall(later + Seconds(2)));
    CHECK(contact.mayCall(later + Seconds(3)));
}

TEST_CASE("calls that were under way when the contact was lost do not delay the probe")
{
    Random random(1);
    StoreContact contact;
    contact.failed(Start, random);
    for (int i = 0; i < 10; ++i) {
        contact.failed(Start + Milliseconds(90), random);
    }
    CHECK(contact.mayCall(Start + StoreContactOptions().firstDelay));
}

TEST_CASE("the loss of the contact is told once, so that calls that wait in a silent store are given up")
{
    Random random(1);
    StoreContact contact;
    int losses = 0;
    contact.onLost([&losses] { ++losses; });
    contact.failed(Start, random);
    contact.failed(Start + Milliseconds(10), random);
    REQUIRE(contact.mayCall(Start + Seconds(1)));
    contact.failed(Start + Seconds(1), random);
    CHECK(losses == 1);
    contact.succeeded();
    contact.failed(Start + Seconds(9), random);
    CHECK(losses == 2);
}

TEST_CASE("a store that was silent, so that probes waited for their time limit, is noticed within two seconds as well")
{
    constexpr Milliseconds CallTimeout{1500};
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        Random random(seed);
        StoreContact contact;
        contact.failed(Start, random);
        const auto back = Start + Seconds(9) + Milliseconds(seed * 10);
        auto now = Start;
        while (contact.isLost()) {
            if (contact.mayCall(now)) {
                // A call that was sent into the silence is not answered later.
                const bool isAnswered = now >= back;
                isAnswered ? contact.succeeded() : contact.failed(now + CallTimeout, random);
                now += isAnswered ? AnswerTime : CallTimeout;
            } else {
                now += Tick;
            }
            REQUIRE(now < back + Seconds(2));
        }
    }
}
