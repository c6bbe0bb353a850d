#include "coordinator/groupcoordinator.h"
#include "metrics/metricsregistry.h"
#include "net/httpexchange.h"
#include "net/httplimits.h"
#include "net/httpserver.h"
#include "platform/engine.h"

#include <doctest/doctest.h>

using namespace Cardamomhill;

namespace
{

constexpr std::uint32_t Ranks = 5;
constexpr int Rounds = 40;
constexpr Milliseconds AnswerTime{15};
constexpr Milliseconds RoundTime{37};

GroupView groupOf(const tcp::endpoint &endpoint, std::uint64_t epoch, bool isOpen)
{
    GroupView group;
    group.id = GroupId("g");
    group.epoch = epoch;
    group.isOpen = isOpen;
    for (std::uint32_t rank = 0; rank < Ranks; ++rank) {
        DiscoveredServer server;
        server.id = BackendServerId("r" + std::to_string(rank) + "-" + std::to_string(epoch));
        server.address = endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
        server.seat = GroupSeat{group.id, epoch, rank, Ranks, isOpen};
        group.ranks.push_back(server);
    }
    return group;
}

/// Answers reports late, and orders as accepted.
Task<> answerLate(HttpExchange &exchange)
{
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor, AnswerTime);
    SystemError error;
    co_await timer.async_wait(storeError(error));
    const std::string report = R"({"group":{"epoch":0,"state":"broken"},"step":12,"map":1})";
    co_await exchange.sendWhole(200, "application/json", report);
}

} // namespace

TEST_CASE("a group may break and open again while its ranks are read and orders are sent")
{
    asio::io_context context;
    HttpServer server(context, HttpLimits(), answerLate);
    const auto endpoint = tcp::acceptor(context, {asio::ip::address_v4::loopback(), 0}).local_endpoint();
    REQUIRE(server.listen(endpoint, false).has_value());
    const Platform::Engine dialect;
    MetricsRegistry metrics;
    EngineProfile engine;
    engine.slots = 6;
    engine.expertLayers = 1;
    engine.expertsPerLayer = Ranks;
    constexpr double LinkMegabits = 100;
    const auto coordinator = std::make_shared<GroupCoordinator>(context, dialect, metrics, 1, LinkMegabits);
    coordinator->update(groupOf(endpoint, 1, true), engine);
    coordinator->start();
    for (std::uint64_t epoch = 1; epoch <= Rounds; ++epoch) {
        context.run_for(RoundTime);
        coordinator->update(groupOf(endpoint, epoch, false), engine);
        context.run_for(RoundTime / 3);
        coordinator->update(groupOf(endpoint, epoch + 1, true), engine);
    }
    CHECK_FALSE(coordinator->isOver());
    coordinator->stop();
    context.run_for(Milliseconds(500));
    // Its own task was the last owner but this one.
    CHECK(coordinator.use_count() == 1);
}
