#include "traffic/callqueue.h"

#include <doctest/doctest.h>

#include <array>
#include <map>

using namespace Cardamomhill;

namespace
{

constexpr SteadyTime Start{Seconds(100)};

WaitingCall call(std::uint32_t routeRank, Milliseconds inTime, Milliseconds servable, bool isReturning = false)
{
    return {{0, routeRank, 0}, Start + inTime, Start + servable, isReturning, 0};
}

WaitingCall callOf(WaitingCall::OrganisationKey organisation, std::uint32_t routeRank, SteadyTime inTimeUntil)
{
    return {{0, routeRank, 0}, inTimeUntil, inTimeUntil + Seconds(1), false, organisation};
}

} // namespace

TEST_CASE("a less urgent call that came first is not sent before a more urgent one")
{
    CallQueue queue;
    const auto batch = queue.add(call(2, Milliseconds(800), Milliseconds(3000)));
    const auto urgent = queue.add(call(0, Milliseconds(900), Milliseconds(1500)));
    CHECK(queue.isNext(urgent, Start));
    CHECK_FALSE(queue.isNext(batch, Start));
    queue.remove(urgent);
    CHECK(queue.isNext(batch, Start));
}

TEST_CASE("the priority of an organisation goes before that of a route")
{
    CallQueue queue;
    const auto route = queue.add({{1, 0, 0}, Start, Start, false, 0});
    const auto organisation = queue.add({{0, 2, 1}, Start, Start, false, 0});
    CHECK(queue.isNext(organisation, Start));
    CHECK_FALSE(queue.isNext(route, Start));
}

TEST_CASE("late calls do not make those late that can still be in time")
{
    CallQueue queue;
    const auto late = queue.add(call(1, Milliseconds(100), Milliseconds(1500)));
    const auto inTime = queue.add(call(1, Milliseconds(600), Milliseconds(1500)));
    CHECK(queue.isNext(late, Start));
    CHECK(queue.isNext(inTime, Start + Milliseconds(101)));
}

TEST_CASE("of late calls the one whose caller leaves first goes first")
{
    CallQueue queue;
    const auto later = queue.add(call(1, Milliseconds(10), Milliseconds(1500)));
    const auto sooner = queue.add(call(1, Milliseconds(20), Milliseconds(900)));
    CHECK(queue.isNext(sooner, Start + Milliseconds(50)));
    CHECK_FALSE(queue.isNext(later, Start + Milliseconds(50)));
}

TEST_CASE("a call waits while it can be in time, a returning one as long as its caller does")
{
    CHECK(CallQueue::waitLimit(call(2, Milliseconds(800), Milliseconds(3000))) == Start + Milliseconds(800));
    CHECK(CallQueue::waitLimit(call(2, Milliseconds(800), Milliseconds(3000), true)) == Start + Milliseconds(3000));
}

TEST_CASE("a call behind more calls than are sent in its time is not kept waiting")
{
    CallQueue queue;
    CallQueue::Ticket last = 0;
    for (int i = 0; i < 4; ++i) {
        last = queue.add(call(1, Milliseconds(500), Milliseconds(1500)));
    }
    CHECK_FALSE(queue.canBeServed(last, Start));
    // Twelve calls in two seconds are three in half a second.
    for (int i = 0; i < 12; ++i) {
        queue.recordSent(Start - Milliseconds(100 * i));
    }
    CHECK(queue.canBeServed(last, Start));
    const auto tooLate = queue.add(call(1, Milliseconds(500), Milliseconds(1500)));
    CHECK_FALSE(queue.canBeServed(tooLate, Start));
    CHECK_FALSE(queue.canBeServed(last, Start + Seconds(3)));
}

TEST_CASE("the first call of a queue may wait, whatever was sent before")
{
    CallQueue queue;
    const auto ticket = queue.add(call(2, Milliseconds(800), Milliseconds(3000)));
    CHECK(queue.canBeServed(ticket, Start));
}

TEST_CASE("an organisation of which many calls were sent does not keep the call of another one waiting")
{
    constexpr WaitingCall::OrganisationKey Large = 1;
    constexpr WaitingCall::OrganisationKey Small = 2;
    CallQueue queue;
    const auto ofLarge = queue.add(callOf(Large, 1, Start + Milliseconds(300)));
    const auto ofSmall = queue.add(callOf(Small, 1, Start + Milliseconds(400)));
    CHECK(queue.isNext(ofLarge, Start));
    queue.recordSent(Start, Large);
    CHECK(queue.isNext(ofSmall, Start));
    // Urgency goes before shares, and a call that can be in time before one that cannot.
    const auto urgent = queue.add(callOf(Large, 0, Start + Milliseconds(300)));
    CHECK(queue.isNext(urgent, Start));
    queue.remove(urgent);
    const auto lateOfSmall = queue.add(callOf(Small, 1, Start - Milliseconds(1)));
    queue.remove(ofSmall);
    CHECK(queue.isNext(ofLarge, Start));
    queue.remove(ofLarge);
    CHECK(queue.isNext(lateOfSmall, Start));
}

TEST_CASE("what an organisation was sent long ago does not count against it")
{
    CallQueue queue;
    for (int i = 0; i < 10; ++i) {
        queue.recordSent(Start, 1);
    }
    for (int i = 0; i < 32; ++i) {
        queue.recordSent(Start, 2);
    }
    const auto ofFirst = queue.add(callOf(1, 1, Start + Milliseconds(500)));
    queue.add(callOf(2, 1, Start + Milliseconds(400)));
    CHECK(queue.isNext(ofFirst, Start));
}

TEST_CASE("in an overload of one organisation the others get what they ask for, and it gets the rest")
{
    // One call is sent in 20 ms: 50 a second. One organisation asks for 100 a second, four others for 5 each.
    constexpr Milliseconds Slot{20};
    constexpr std::size_t Organisations = 5;
    constexpr std::array<int, Organisations> SlotsPerCall{1, 10, 10, 10, 10};
    std::array<double, Organisations> asked{};
    std::array<double, Organisations> sent{};
    std::map<CallQueue::Ticket, WaitingCall> waiting;
    CallQueue queue;
    for (int slot = 0; slot < 1000; ++slot) {
        const auto now = Start + slot * Slot;
        for (std::size_t organisation = 0; organisation < Organisations; ++organisation) {
            const int calls = organisation == 0 ? 2 : (slot % SlotsPerCall[organisation] == 0 ? 1 : 0);
            for (int i = 0; i < calls; ++i) {
                const auto call = callOf(organisation, 0, now + Milliseconds(400));
                waiting.emplace(queue.add(call), call);
                ++asked[organisation];
            }
        }
        for (const auto &[ticket, call] : waiting) {
            if (queue.isNext(ticket, now)) {
                queue.recordSent(now, call.organisation);
                ++sent[call.organisation];
                queue.remove(ticket);
                waiting.erase(ticket);
                break;
            }
        }
        std::erase_if(waiting, [&](const auto &entry) {
            const bool isRefused = now >= CallQueue::waitLimit(entry.second);
            if (isRefused) {
                queue.remove(entry.first);
            }
            return isRefused;
        });
    }
    for (std::size_t organisation = 1; organisation < Organisations; ++organisation) {
        CHECK(sent[organisation] > 0.95 * asked[organisation]);
    }
    // What the others leave of 50 a second is 30 of the 100 that it asks for.
    CHECK(sent[0] > 0.95 * 0.3 * asked[0]);
}
