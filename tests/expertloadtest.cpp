#include "rebalance/expertload.h"

#include <doctest/doctest.h>

using namespace Cardamomhill;

TEST_CASE("only selections since the last counters are added to the load")
{
    ExpertLoad load;
    load.addCounters(0, {50'000, 10'000});
    CHECK_FALSE(load.finishRound(0.7));
    CHECK(load.load().empty());
    load.addCounters(0, {53'000, 11'000});
    REQUIRE(load.finishRound(0.7));
    CHECK(load.load() == std::vector<double>{3000, 1000});
}

TEST_CASE("ranks are summed up, the newest round weighs most, and one with too few selections is ignored")
{
    ExpertLoad load;
    load.addCounters(0, {0, 0});
    load.addCounters(1, {0, 0});
    load.addCounters(0, {2000, 0});
    load.addCounters(1, {2000, 0});
    REQUIRE(load.finishRound(0.7));
    CHECK(load.load()[0] == 4000);
    load.addCounters(0, {2000, 4000});
    REQUIRE(load.finishRound(0.7));
    CHECK(load.load()[0] == doctest::Approx(1200));
    CHECK(load.load()[1] == doctest::Approx(2800));
    load.addCounters(0, {2001, 4000});
    CHECK_FALSE(load.finishRound(0.7));
    CHECK(load.load()[1] == doctest::Approx(2800));
}

TEST_CASE("a restarted rank counts from zero, and one that could not be read needs a new base")
{
    ExpertLoad load;
    load.addCounters(0, {90'000});
    load.addCounters(0, {3000});
    REQUIRE(load.finishRound(0.7));
    CHECK(load.load()[0] == 3000);
    load.forget(0);
    load.addCounters(0, {50'000});
    CHECK_FALSE(load.finishRound(0.7));
}

TEST_CASE("counters of another model clear the load")
{
    ExpertLoad load;
    load.addCounters(0, {0});
    load.addCounters(0, {5000});
    REQUIRE(load.finishRound(0.7));
    load.addCounters(0, {0, 0, 0});
    CHECK(load.load().empty());
}
