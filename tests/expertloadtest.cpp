#include "rebalance/expertload.h"

#include <doctest/doctest.h>

using namespace Cardamomhill;

TEST_CASE("only what was chosen since the last counters counts")
{
    ExpertLoad load;
    load.take(0, {50'000, 10'000});
    CHECK_FALSE(load.fold(0.7));
    CHECK(load.load().empty());
    load.take(0, {53'000, 11'000});
    REQUIRE(load.fold(0.7));
    CHECK(load.load() == std::vector<double>{3000, 1000});
}

TEST_CASE("ranks add up, the newest round counts most, and a short one is left out")
{
    ExpertLoad load;
    load.take(0, {0, 0});
    load.take(1, {0, 0});
    load.take(0, {2000, 0});
    load.take(1, {2000, 0});
    REQUIRE(load.fold(0.7));
    CHECK(load.load()[0] == 4000);
    load.take(0, {2000, 4000});
    REQUIRE(load.fold(0.7));
    CHECK(load.load()[0] == doctest::Approx(1200));
    CHECK(load.load()[1] == doctest::Approx(2800));
    load.take(0, {2001, 4000});
    CHECK_FALSE(load.fold(0.7));
    CHECK(load.load()[1] == doctest::Approx(2800));
}

TEST_CASE("a rank that starts anew counts from zero, one that could not be read starts over")
{
    ExpertLoad load;
    load.take(0, {90'000});
    load.take(0, {3000});
    REQUIRE(load.fold(0.7));
    CHECK(load.load()[0] == 3000);
    load.forget(0);
    load.take(0, {50'000});
    CHECK_FALSE(load.fold(0.7));
}

TEST_CASE("counters of another model start the load anew")
{
    ExpertLoad load;
    load.take(0, {0});
    load.take(0, {5000});
    REQUIRE(load.fold(0.7));
    load.take(0, {0, 0, 0});
    CHECK(load.load().empty());
}
