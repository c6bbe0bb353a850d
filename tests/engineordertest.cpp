#include "platform/engine.h"
#include "rebalance/switchpolicy.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

using namespace Cardamomhill;

TEST_CASE("prepare orders contain the shared encoded map and each rank's own fencing token")
{
    const GroupShape shape{3, 2, 4};
    const auto map = std::make_shared<const ExpertMap>(ExpertMap::contiguous(shape));
    const Platform::Engine engine;
    const auto encoded = engine.encodeMap(*map);
    for (std::size_t rank = 0; rank < shape.ranks; ++rank) {
        const RankOrder order{rank, 70 + rank, 9, PrepareMap{5, map}};
        const auto request = engine.makeOrderRequest(order, BackendServerId("s"), encoded);
        const auto body = nlohmann::json::parse(request.body());
        CHECK(body.at("operation") == "prepare");
        CHECK(body.at("version") == 5);
        CHECK(body.at("fencing-token") == 70 + rank);
        CHECK(body.at("epoch") == 9);
        REQUIRE(body.at("map").size() == shape.layers);
        for (std::size_t layer = 0; layer < shape.layers; ++layer) {
            REQUIRE(body.at("map")[layer].size() == shape.ranks);
            for (std::size_t holder = 0; holder < shape.ranks; ++holder) {
                for (const std::size_t expert : body.at("map")[layer][holder]) {
                    CHECK(map->holds(layer, expert, holder));
                }
            }
        }
    }
}

TEST_CASE("orders other than prepare contain no map")
{
    const Platform::Engine engine;
    const auto request = engine.makeOrderRequest({0, 7, 2, HoldStep{4}}, BackendServerId("s"), {});
    const auto body = nlohmann::json::parse(request.body());
    CHECK(body.at("operation") == "hold");
    CHECK(body.at("step") == 4);
    CHECK_FALSE(body.contains("map"));
}

TEST_CASE("several maps sent at the same time occupy the coordinator's link for at most 50 ms")
{
    constexpr std::size_t MapBytes = 20'000;
    constexpr double BitsPerByte = 8;
    for (const double megabits : {28.0, 40.0, 200.0, 700.0}) {
        const auto count = SwitchPolicy::maxConcurrentMaps(megabits, MapBytes);
        CHECK(count * MapBytes * BitsPerByte <= megabits * 1e6 * 0.05);
        CHECK(count >= 5);
    }
    CHECK(SwitchPolicy::maxConcurrentMaps(0.1, MapBytes) == 1);
    CHECK(SwitchPolicy::maxConcurrentMaps(100, 0) > 0);
}
