#include "placement/switchplanner.h"
#include "core/random.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

using namespace Cardamomhill;

namespace
{

const GroupShape Shape{8, 3, 64};
constexpr SwitchLimits Limits{11, 4, 0.0};

/// Each expert on one rank, assigned round-robin.
ExpertMap roundRobinMap()
{
    ExpertMap map(Shape);
    for (std::size_t layer = 0; layer < Shape.layers; ++layer) {
        for (std::size_t expert = 0; expert < Shape.experts; ++expert) {
            const auto applied = map.apply({MoveKind::Add,
                                            static_cast<LayerIndex>(layer),
                                            static_cast<ExpertIndex>(expert),
                                            static_cast<RankIndex>(expert % Shape.ranks)});
            REQUIRE(applied.has_value());
        }
    }
    return map;
}

std::vector<double> skewedLoad(std::uint64_t seed)
{
    Random random(seed);
    std::lognormal_distribution<double> load(0, 1.3);
    std::vector<double> tokens(Shape.cellCount());
    std::generate(tokens.begin(), tokens.end(), [&] { return load(random); });
    return tokens;
}

/// The load of the slowest rank over the mean, averaged over the layers.
double skewOf(const ExpertMap &map, const std::vector<double> &tokens, const std::vector<double> &speeds)
{
    double sum = 0;
    for (std::size_t layer = 0; layer < Shape.layers; ++layer) {
        std::vector<double> ranks(Shape.ranks, 0);
        double total = 0;
        for (std::size_t expert = 0; expert < Shape.experts; ++expert) {
            const double load = tokens[layer * Shape.experts + expert];
            const auto &replicas = map.replicas(layer, expert);
            total += load;
            for (const auto rank : replicas) {
                ranks[rank] += load / static_cast<double>(replicas.size()) / speeds[rank];
            }
        }
        double speed = 0;
        for (const double one : speeds) {
            speed += one;
        }
        sum += *std::max_element(ranks.begin(), ranks.end()) / (total / speed);
    }
    return sum / static_cast<double>(Shape.layers);
}

} // namespace

TEST_CASE("a plan leaves every expert a replica and respects the slots of each rank and the copies of one switch")
{
    const auto map = roundRobinMap();
    const std::vector<double> speeds(Shape.ranks, 1);
    CHECK(rc::check([&](std::uint64_t seed) {
        const auto tokens = skewedLoad(seed);
        const auto plan = planSwitch(map, tokens, speeds, Limits);
        RC_ASSERT(plan.map.validate().has_value());
        for (std::size_t layer = 0; layer < Shape.layers; ++layer) {
            std::vector<std::size_t> copies(Shape.ranks, 0);
            for (std::size_t expert = 0; expert < Shape.experts; ++expert) {
                for (const auto rank : plan.map.replicas(layer, expert)) {
                    copies[rank] += map.holds(layer, expert, rank) ? 0 : 1;
                }
            }
            RC_ASSERT(*std::max_element(copies.begin(), copies.end()) <= Limits.copiesPerRankAndLayer);
            const auto held = plan.map.replicasPerRank(layer);
            RC_ASSERT(*std::max_element(held.begin(), held.end()) <= Limits.slotsPerRankAndLayer);
        }
        RC_ASSERT(plan.skewAfter <= plan.skewBefore + 1e-9);
        RC_ASSERT(std::abs(skewOf(plan.map, tokens, speeds) - plan.skewAfter) < 0.01);
    }));
}

TEST_CASE("one switch removes most of the skew of a popular expert")
{
    const std::vector<double> speeds(Shape.ranks, 1);
    std::vector<double> tokens(Shape.cellCount(), 1);
    tokens[5] = 60;
    const auto plan = planSwitch(roundRobinMap(), tokens, speeds, Limits);
    CHECK(plan.skewBefore > 1.8);
    CHECK(plan.skewAfter < 1.35);
}

TEST_CASE("a slow rank gets less load")
{
    std::vector<double> speeds(Shape.ranks, 1);
    speeds[2] = 0.2;
    const std::vector<double> tokens(Shape.cellCount(), 1);
    const auto plan = planSwitch(roundRobinMap(), tokens, speeds, Limits);
    CHECK(plan.skewBefore > 4);
    CHECK(plan.skewAfter < 2.5);
}

TEST_CASE("copies with too little gain are not made")
{
    const std::vector<double> speeds(Shape.ranks, 1);
    auto limits = Limits;
    limits.gainPerCopy = 10;
    const auto plan = planSwitch(roundRobinMap(), skewedLoad(3), speeds, limits);
    CHECK(plan.copies == 0);
    CHECK(plan.map == roundRobinMap());
}

TEST_CASE("copies are spread over the ranks if each may take few, and the skew falls nearly as far")
{
    const auto map = roundRobinMap();
    const std::vector<double> speeds(Shape.ranks, 1);
    auto limited = Limits;
    limited.copiesPerRank = 3;
    double skewLimited = 0;
    double skewUnlimited = 0;
    double skewBefore = 0;
    constexpr std::uint64_t Loads = 50;
    for (std::uint64_t seed = 1; seed <= Loads; ++seed) {
        const auto tokens = skewedLoad(seed);
        const auto plan = planSwitch(map, tokens, speeds, limited);
        CHECK(plan.maximumCopiesPerRank <= limited.copiesPerRank);
        CHECK(plan.map.validate().has_value());
        skewLimited += plan.skewAfter;
        skewBefore += plan.skewBefore;
        skewUnlimited += planSwitch(map, tokens, speeds, Limits).skewAfter;
    }
    CHECK(meanSkew(map, skewedLoad(1), speeds) == doctest::Approx(skewOf(map, skewedLoad(1), speeds)));
    CHECK(skewLimited / Loads < (skewUnlimited + skewBefore) / 2 / Loads);
}
