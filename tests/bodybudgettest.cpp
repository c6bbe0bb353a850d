// Guards against request bodies that together take more memory than a process has, and against callers that lose theirs
// to others that only hold memory.

#include "net/bodybudget.h"
#include "net/bodymemory.h"
#include "net/httplimits.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <numeric>

using namespace Cardamomhill;

namespace
{

constexpr std::size_t Total = 1000;
constexpr std::size_t Reserve = 200;
constexpr std::size_t Small = 10;
constexpr std::size_t LargestBody = Total - Reserve;
constexpr std::size_t Progress = 5;
constexpr Milliseconds IdleTime{100};
constexpr SteadyTime Start{};

BodyBudgetLimits limits()
{
    return {Total, Reserve, Small, IdleTime, Progress};
}

/// What the bodies of a budget did, kept beside it.
struct Witness {
    struct Body {
        std::size_t held = 0;
        std::size_t marked = 0;
        SteadyTime lastProgress{};
        bool isComplete = false;
    };

    BodyBudget budget{limits()};
    std::map<BodyId, Body> bodies;
    SteadyTime now = Start;

    BodyId open()
    {
        const auto id = budget.open(now);
        bodies[id].lastProgress = now;
        return id;
    }

    bool take(BodyId id, std::size_t bytes)
    {
        const auto grant = budget.take(id, bytes, now);
        for (const auto dropped : grant.dropped) {
            const auto &body = bodies.at(dropped);
            RC_ASSERT(dropped != id);
            RC_ASSERT(!body.isComplete);
            RC_ASSERT(now - body.lastProgress >= IdleTime);
            RC_ASSERT(body.lastProgress < bodies.at(id).lastProgress);
            bodies.erase(dropped);
        }
        RC_ASSERT(grant.isGranted || grant.dropped.empty());
        if (grant.isGranted) {
            bodies[id].held = std::max(bodies[id].held, bytes);
        }
        check();
        return grant.isGranted;
    }

    void receive(BodyId id, std::size_t bytes)
    {
        auto &body = bodies.at(id);
        budget.recordReceived(id, bytes, now);
        if (!body.isComplete && bytes >= body.marked + Progress) {
            body.marked = bytes;
            body.lastProgress = now;
        }
    }

    void complete(BodyId id)
    {
        budget.complete(id);
        bodies.at(id).isComplete = true;
    }

    void close(BodyId id)
    {
        budget.close(id);
        bodies.erase(id);
        check();
    }

    std::size_t sum(std::size_t above) const
    {
        return std::accumulate(
            bodies.begin(), bodies.end(), std::size_t{0}, [above](std::size_t sum, const auto &entry) {
                return sum + (entry.second.held > above ? entry.second.held : 0);
            });
    }

    void check() const
    {
        RC_ASSERT(budget.usedBytes() == sum(0));
        RC_ASSERT(budget.usedBytes() <= Total);
        RC_ASSERT(sum(Small) <= LargestBody);
        RC_ASSERT(budget.bodyCount() == bodies.size());
    }

    /// Does something at random.
    void step()
    {
        now += Milliseconds(*rc::gen::inRange(0, 60));
        const auto kind = *rc::gen::inRange(0, 8);
        if (kind <= 1 || bodies.empty()) {
            open();
            return;
        }
        const auto index = *rc::gen::inRange<std::size_t>(0, bodies.size());
        const auto id = std::next(bodies.begin(), static_cast<std::ptrdiff_t>(index))->first;
        if (kind <= 4) {
            take(id, *rc::gen::inRange<std::size_t>(1, *rc::gen::element(2 * Small, LargestBody + Small)));
        } else if (kind == 5) {
            receive(id, bodies.at(id).marked + *rc::gen::inRange<std::size_t>(0, 2 * Progress));
        } else if (kind == 6) {
            complete(id);
        } else {
            close(id);
        }
    }

    void runSteps()
    {
        const auto count = *rc::gen::inRange(0, 60);
        for (int i = 0; i < count; ++i) {
            step();
        }
    }
};

} // namespace

TEST_CASE("bodies never hold more than the total, and only one without progress gives way")
{
    // Witness checks both after each step.
    CHECK(rc::check("sum and order", [] {
        Witness witness;
        witness.runSteps();
    }));
}

TEST_CASE("small bodies get through whatever the large ones hold")
{
    CHECK(rc::check("reserved share", [] {
        Witness witness;
        witness.runSteps();
        for (auto body = witness.bodies.begin(); body != witness.bodies.end();) {
            const auto id = (body++)->first;
            if (witness.bodies.at(id).held <= Small) {
                witness.close(id);
            }
        }
        for (std::size_t i = 0; i < Reserve / Small; ++i) {
            RC_ASSERT(witness.take(witness.open(), Small));
        }
    }));
}

TEST_CASE("one body of the largest size is served once the others have gone silent")
{
    CHECK(rc::check("calm", [] {
        Witness witness;
        witness.runSteps();
        for (auto body = witness.bodies.begin(); body != witness.bodies.end();) {
            const auto id = (body++)->first;
            if (witness.bodies.at(id).isComplete) {
                witness.close(id);
            }
        }
        witness.now += IdleTime;
        RC_ASSERT(witness.take(witness.open(), LargestBody));
    }));
}

TEST_CASE("a body that makes progress isn't given up for one that makes none")
{
    BodyBudget budget(limits());
    const auto busy = budget.open(Start);
    const auto silent = budget.open(Start);
    const auto old = budget.open(Start);
    REQUIRE(budget.take(busy, LargestBody / 2, Start).isGranted);
    REQUIRE(budget.take(silent, LargestBody / 2, Start).isGranted);
    const auto later = Start + IdleTime;
    budget.recordReceived(busy, Progress, later);
    budget.recordReceived(silent, Progress - 1, later);
    const auto first = budget.open(later);
    const auto grant = budget.take(first, LargestBody / 2, later);
    CHECK(grant.isGranted);
    CHECK(grant.dropped == std::vector<BodyId>{silent});
    CHECK_FALSE(budget.take(budget.open(later), Small + 1, later).isGranted);
    // The dropped body gets nothing any more.
    CHECK_FALSE(budget.take(silent, 1, later).isGranted);
    // A body that has made no progress itself doesn't displace one that made its last later.
    const auto muchLater = later + IdleTime;
    CHECK_FALSE(budget.take(old, LargestBody / 2, muchLater).isGranted);
}

TEST_CASE("a whole body never gives way, and what it held can be taken once it is closed")
{
    BodyBudget budget(limits());
    const auto whole = budget.open(Start);
    REQUIRE(budget.take(whole, LargestBody, Start).isGranted);
    budget.complete(whole);
    const auto later = Start + 10 * IdleTime;
    const auto next = budget.open(later);
    CHECK_FALSE(budget.take(next, LargestBody, later).isGranted);
    budget.close(whole);
    CHECK(budget.take(next, LargestBody, later).isGranted);
    CHECK(budget.usedBytes() == LargestBody);
}

TEST_CASE("limits that change apply to what is taken from then on")
{
    BodyBudget budget(limits());
    const auto body = budget.open(Start);
    REQUIRE(budget.take(body, LargestBody, Start).isGranted);
    auto smaller = limits();
    smaller.totalBytes = Total / 2;
    budget.setLimits(smaller);
    CHECK(budget.usedBytes() == LargestBody);
    CHECK_FALSE(budget.take(budget.open(Start), Small, Start).isGranted);
    budget.close(body);
    CHECK(budget.take(budget.open(Start), Small, Start).isGranted);
    CHECK(budget.usedBytes() == Small);
}

namespace
{

HttpLimits httpLimits(std::size_t maxBodyBytes)
{
    HttpLimits limits;
    limits.maxBodyBytes = maxBodyBytes;
    limits.maxTotalBodyBytes = 2 * maxBodyBytes;
    return limits;
}

} // namespace

// Guards against a buffer that outlives its body, which doubled the memory of a process.
TEST_CASE("a body that is released frees its buffer and what it held")
{
    constexpr std::size_t MaxBodyBytes = 1'000'000;
    BodyMemory memory(httpLimits(MaxBodyBytes));
    RequestBody body;
    REQUIRE(memory.makeRoom(body, 1, MaxBodyBytes));
    CHECK(memory.usedBytes() == MaxBodyBytes);
    CHECK(body.bytes.capacity() >= MaxBodyBytes);
    memory.release(body);
    CHECK(memory.usedBytes() == 0);
    CHECK(body.bytes.capacity() == std::string().capacity());
}

TEST_CASE("the buffer of a body without a stated length never moves while it is within its grant")
{
    constexpr std::size_t MaxBodyBytes = 1'000'000;
    constexpr std::size_t Step = 1000;
    BodyMemory memory(httpLimits(MaxBodyBytes));
    RequestBody body;
    while (body.bytes.size() < MaxBodyBytes) {
        REQUIRE(memory.makeRoom(body, body.bytes.size() + Step, std::nullopt));
        const auto *const data = body.bytes.data();
        body.bytes.append(Step, 'x');
        CHECK(body.bytes.data() == data);
        CHECK(body.bytes.size() <= memory.usedBytes());
    }
    memory.release(body);
}
