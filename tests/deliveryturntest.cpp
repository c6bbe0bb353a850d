#include "traffic/deliveryturn.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

using namespace Cardamomhill;

TEST_CASE("the first of two attempts that has something to deliver delivers from then on")
{
    DeliveryTurn turn;
    const auto first = turn.begin();
    CHECK(turn.claim(first) == DeliveryClaim::Granted);
    const auto beside = turn.beginBeside();
    CHECK_FALSE(turn.isOver(first));
    CHECK_FALSE(turn.isOver(beside));
    SUBCASE("the silent one goes on")
    {
        CHECK(turn.claim(first) == DeliveryClaim::Granted);
        CHECK(turn.isOver(beside));
        CHECK(turn.claim(beside) == DeliveryClaim::Refused);
        CHECK(turn.claim(first) == DeliveryClaim::Granted);
    }
    SUBCASE("the other one goes on")
    {
        CHECK(turn.claim(beside) == DeliveryClaim::TakenOver);
        CHECK(turn.isOver(first));
        CHECK(turn.claim(first) == DeliveryClaim::Refused);
        CHECK(turn.claim(beside) == DeliveryClaim::Granted);
    }
    SUBCASE("a later attempt replaces both")
    {
        const auto retry = turn.begin();
        CHECK(turn.claim(first) == DeliveryClaim::Refused);
        CHECK(turn.claim(beside) == DeliveryClaim::Refused);
        CHECK(turn.claim(retry) == DeliveryClaim::Granted);
    }
}

TEST_CASE("in any order of attempts and claims a stream has no gap, no repetition and no piece of an attempt that lost")
{
    // Attempts deliver numbers from the one after the last that was delivered when they began.
    CHECK(rc::check([](const std::vector<unsigned char> &steps) {
        DeliveryTurn turn;
        struct Source {
            DeliveryTurn::Ticket ticket;
            int next;
            bool hasLost;
        };
        std::vector<Source> sources{{turn.begin(), 0, false}};
        int delivered = 0;
        for (const auto step : steps) {
            constexpr int Kinds = 4;
            if (step % Kinds == 0) {
                sources.push_back({turn.beginBeside(), delivered, false});
                continue;
            }
            auto &source = sources[step / Kinds % sources.size()];
            if (turn.claim(source.ticket) == DeliveryClaim::Refused) {
                source.hasLost = true;
                RC_ASSERT(turn.isOver(source.ticket));
                continue;
            }
            RC_ASSERT(!source.hasLost);
            RC_ASSERT(source.next == delivered);
            source.next = ++delivered;
        }
    }));
}
