// Guards against answers that callers don't read and that together take more memory than a host has.

#include "net/answerbudget.h"
#include "net/heldanswer.h"

#include <doctest/doctest.h>

#include <vector>

using namespace Cardamomhill;

namespace
{

constexpr std::size_t Kilobyte = 1024;
constexpr std::size_t TotalBytes = 1000 * Kilobyte;

} // namespace

TEST_CASE("answers never hold more than the total, and one that is refused keeps what it holds")
{
    AnswerBudget budget(TotalBytes);
    std::vector<HeldAnswer> held(10);
    std::size_t granted = 0;
    for (auto &answer : held) {
        granted += budget.take(answer, 250 * Kilobyte) ? 1 : 0;
        CHECK(budget.usedBytes() <= TotalBytes);
    }
    CHECK(granted == 4);
    CHECK(budget.refusedCount() == 6);
    CHECK_FALSE(budget.take(held[0], 251 * Kilobyte));
    CHECK(held[0].bytes == 250 * Kilobyte);
}

TEST_CASE("an answer that grows is counted once, and what is given back can be taken again")
{
    AnswerBudget budget(TotalBytes);
    HeldAnswer first;
    HeldAnswer second;
    CHECK(budget.take(first, 400 * Kilobyte));
    CHECK(budget.take(first, 900 * Kilobyte));
    CHECK(budget.take(first, 100 * Kilobyte));
    CHECK(budget.usedBytes() == 900 * Kilobyte);
    CHECK_FALSE(budget.take(second, 200 * Kilobyte));
    budget.release(first);
    budget.release(first);
    CHECK(budget.usedBytes() == 0);
    CHECK(budget.take(second, 200 * Kilobyte));
}

TEST_CASE("small answers are held when the total is used up, or ordinary callers would be affected")
{
    AnswerBudget budget(TotalBytes);
    HeldAnswer large;
    HeldAnswer small;
    CHECK(budget.take(large, TotalBytes));
    CHECK(budget.take(small, 16 * Kilobyte));
    CHECK(small.bytes == 0);
    CHECK_FALSE(budget.take(small, 17 * Kilobyte));
}

TEST_CASE("a total that is lowered below what is held refuses further bytes")
{
    AnswerBudget budget(TotalBytes);
    HeldAnswer first;
    HeldAnswer second;
    CHECK(budget.take(first, TotalBytes));
    budget.setTotal(TotalBytes / 2);
    CHECK_FALSE(budget.take(second, 17 * Kilobyte));
    budget.release(first);
    CHECK(budget.take(second, 17 * Kilobyte));
}

TEST_CASE("answers whose callers stopped reading give way, the longest stalled first and no more than needed")
{
    const SteadyTime start{Seconds(100)};
    AnswerBudget budget(TotalBytes);
    std::vector<HeldAnswer> held(4);
    for (auto &answer : held) {
        CHECK(budget.take(answer, 250 * Kilobyte));
    }
    held[0].waitsSince = start + Milliseconds(10);
    held[1].waitsSince = start;
    held[2].waitsSince = start + Milliseconds(500);
    HeldAnswer next;
    // Nobody has stalled long enough, or a caller on a slow link would lose its answer.
    CHECK_FALSE(budget.takeFromStalled(next, 250 * Kilobyte, start + Milliseconds(999)));
    const auto displaced = budget.takeFromStalled(next, 250 * Kilobyte, start + Milliseconds(1100));
    REQUIRE(displaced);
    CHECK(*displaced == std::vector<HeldAnswer *>{&held[1]});
    CHECK(held[1].bytes == 0);
    CHECK(next.bytes == 250 * Kilobyte);
    CHECK(budget.usedBytes() == TotalBytes);
    // The two others that stalled would not make enough room, so none of them is ended.
    HeldAnswer large;
    CHECK_FALSE(budget.takeFromStalled(large, 600 * Kilobyte, start + Seconds(10)));
    CHECK(held[0].bytes == 250 * Kilobyte);
    CHECK(budget.displacedCount() == 1);
}
