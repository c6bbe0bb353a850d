#include "coordinator/groupcoordinator.h"
#include "control/controladdress.h"
#include "metrics/metricsregistry.h"
#include "net/httpexchange.h"
#include "net/httplimits.h"
#include "net/httpserver.h"
#include "net/steadynow.h"
#include "platform/engine.h"
#include "support/freeendpoint.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

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
        server.address = controlAddress(endpoint).value();
        server.groupMembership = GroupMembership{group.id, epoch, rank, Ranks, isOpen};
        group.ranks.push_back(server);
    }
    return group;
}

/// Answers every request with status 200 after a delay, so that orders count as accepted.
Task<> answerLate(asio::io_context &context, HttpExchange &exchange)
{
    asio::steady_timer timer(context, AnswerTime);
    SystemError error;
    co_await timer.async_wait(storeError(error));
    const std::string report = R"({"group":{"epoch":0,"state":"broken"},"step":12,"map":1})";
    co_await exchange.sendAnswer(200, "application/json", report);
}

/// A busy group whose ranks select one expert most of the time.
class LoadedGroup
{
public:
    LoadedGroup(asio::io_context &context, Milliseconds orderTime)
        : m_context(context)
        , m_orderTime(orderTime)
    {
        m_view = groupOf({}, 1, true);
        for (std::uint32_t rank = 0; rank < Ranks; ++rank) {
            const auto endpoint = freeEndpoint(context);
            m_view.ranks[rank].address = controlAddress(endpoint).value();
            m_servers.push_back(std::make_unique<HttpServer>(
                context, HttpLimits(), [this, rank](HttpExchange &exchange) { return answer(exchange, rank); }));
            REQUIRE(m_servers.back()->listen(endpoint, false).has_value());
        }
    }

    static EngineProfile engine()
    {
        EngineProfile profile;
        profile.slots = 6;
        profile.expertLayers = 1;
        profile.expertsPerLayer = Ranks;
        profile.replicasPerRank = 3;
        profile.spareReplicasPerRank = 2;
        profile.expertMegabytes = 1;
        profile.linkMegabitsPerSecond = 1000;
        return profile;
    }

    const GroupView &view() const
    {
        return m_view;
    }

    int mapsSent() const
    {
        return m_mapsSent;
    }

    /// How many requests of a kind came before the first one of another kind.
    std::size_t countBefore(const std::string &target, const std::string &other) const
    {
        const auto end = std::find(m_targets.begin(), m_targets.end(), other);
        return static_cast<std::size_t>(std::count(m_targets.begin(), end, target));
    }

    std::size_t count(const std::string &target) const
    {
        return static_cast<std::size_t>(std::count(m_targets.begin(), m_targets.end(), target));
    }

    /// The ranks report another map from now on, as after a switch.
    void switchMap()
    {
        ++m_mapVersion;
    }

private:
    Task<> answer(HttpExchange &exchange, std::uint32_t rank)
    {
        const std::string target(exchange.request().target());
        m_targets.push_back(target);
        const auto mapVersion = std::to_string(m_mapVersion);
        std::string body = "{}";
        if (target == "/report") {
            ++m_step;
            body = R"({"group":{"epoch":1,"state":"open"},"step":)" + std::to_string(m_step) + R"(,"map":)" + mapVersion
                + R"(,"num-running":6,"num-waiting":3})";
        } else if (target == "/picked") {
            m_selections += 5000;
            body = R"({"epoch":1,"counts":[)" + std::to_string(m_selections) + ",1,1,1,1]}";
        } else if (target == "/picked?lists=1") {
            body = R"({"epoch":1,"map":{"version":)" + mapVersion + R"(,"experts":[[)" + std::to_string(rank) + "]]}}";
        } else if (exchange.request().body().find("\"map\"") != std::string::npos) {
            ++m_mapsSent;
            asio::steady_timer timer(m_context, m_orderTime);
            SystemError error;
            co_await timer.async_wait(storeError(error));
        }
        co_await exchange.sendAnswer(200, "application/json", body);
    }

    asio::io_context &m_context;
    Milliseconds m_orderTime;
    GroupView m_view;
    std::vector<std::unique_ptr<HttpServer>> m_servers;
    std::uint64_t m_step = 1;
    std::uint64_t m_selections = 0;
    std::uint64_t m_mapVersion = 1;
    std::vector<std::string> m_targets;
    int m_mapsSent = 0;
};

/// A loaded group with its coordinator.
class CoordinatedGroup
{
public:
    CoordinatedGroup()
        : m_group(m_context, Milliseconds(0))
        , m_coordinator(std::make_shared<GroupCoordinator>(
              m_context, m_codec, m_metrics, 1, LinkMegabits, [](const GroupView &) {}))
    {
        m_coordinator->update(m_group.view(), LoadedGroup::engine());
        m_coordinator->start();
    }

    ~CoordinatedGroup()
    {
        m_coordinator->stop();
        m_context.run_for(Milliseconds(500));
    }

    CoordinatedGroup(const CoordinatedGroup &) = delete;
    CoordinatedGroup &operator=(const CoordinatedGroup &) = delete;

    LoadedGroup &group()
    {
        return m_group;
    }

    void runUntil(const std::function<bool(const LoadedGroup &)> &isReached)
    {
        const auto end = steadyNow() + Seconds(10);
        while (!isReached(m_group) && steadyNow() < end) {
            m_context.run_for(Milliseconds(1));
        }
        REQUIRE(isReached(m_group));
    }

private:
    static constexpr double LinkMegabits = 1000;

    asio::io_context m_context;
    Platform::Engine m_codec;
    MetricsRegistry m_metrics;
    LoadedGroup m_group;
    std::shared_ptr<GroupCoordinator> m_coordinator;
};

} // namespace

TEST_CASE("a group may break and open again while reads and orders are in progress")
{
    asio::io_context context;
    HttpServer server(
        context, HttpLimits(), [&context](HttpExchange &exchange) { return answerLate(context, exchange); });
    const auto endpoint = freeEndpoint(context);
    REQUIRE(server.listen(endpoint, false).has_value());
    const Platform::Engine codec;
    MetricsRegistry metrics;
    EngineProfile engine;
    engine.slots = 6;
    engine.expertLayers = 1;
    engine.expertsPerLayer = Ranks;
    constexpr double LinkMegabits = 100;
    const auto coordinator
        = std::make_shared<GroupCoordinator>(context, codec, metrics, 1, LinkMegabits, [](const GroupView &) {});
    coordinator->update(groupOf(endpoint, 1, true), engine);
    coordinator->start();
    for (std::uint64_t epoch = 1; epoch <= Rounds; ++epoch) {
        context.run_for(RoundTime);
        coordinator->update(groupOf(endpoint, epoch, false), engine);
        context.run_for(RoundTime / 3);
        coordinator->update(groupOf(endpoint, epoch + 1, true), engine);
    }
    CHECK_FALSE(coordinator->hasTermEnded());
    coordinator->stop();
    context.run_for(Milliseconds(500));
    // The task of run() has ended, so this test is the only owner left.
    CHECK(coordinator.use_count() == 1);
}

TEST_CASE("a coordinator is not destroyed before the orders that it has begun to send are answered")
{
    constexpr Milliseconds OrderTime{120};
    // The link is so slow that one map is sent at a time, so each answer is followed by the next order.
    constexpr double LinkMegabits = 0.001;
    asio::io_context context;
    LoadedGroup group(context, OrderTime);
    const Platform::Engine codec;
    MetricsRegistry metrics;
    auto coordinator
        = std::make_shared<GroupCoordinator>(context, codec, metrics, 1, LinkMegabits, [](const GroupView &) {});
    coordinator->update(group.view(), LoadedGroup::engine());
    coordinator->start();
    const auto end = steadyNow() + Seconds(10);
    while (group.mapsSent() == 0 && steadyNow() < end) {
        context.run_for(Milliseconds(5));
    }
    REQUIRE(group.mapsSent() == 1);
    coordinator->stop();
    // No weak pointer is kept: make_shared() would keep the memory allocated, and sanitizers would miss a use after
    // free.
    coordinator.reset();
    // The task of run() ends first, so the task that awaits the answer is the last owner of the coordinator. The answer
    // would allow the next map to be sent, but no order may follow.
    context.run_for(4 * OrderTime);
    CHECK(group.mapsSent() == 1);
}

TEST_CASE("steps are not slow for longer since the map is read only after the reports on the last coordinator's orders")
{
    CoordinatedGroup coordinated;
    coordinated.runUntil([](const LoadedGroup &group) { return group.mapsSent() > 0; });
    const auto &group = coordinated.group();
    CHECK(group.countBefore("/picked?lists=1", "/report") == Ranks);
    CHECK(group.countBefore("/picked", "/report") > 0);
    // It is not read again.
    CHECK(group.count("/picked?lists=1") == Ranks);
}

TEST_CASE("a map that was replaced after it was read is not taken for the current one")
{
    CoordinatedGroup coordinated;
    coordinated.runUntil([](const LoadedGroup &group) { return group.count("/picked") > 0; });
    REQUIRE(coordinated.group().count("/report") == 0);
    coordinated.group().switchMap();
    coordinated.runUntil([](const LoadedGroup &group) { return group.mapsSent() > 0; });
    CHECK(coordinated.group().count("/picked?lists=1") == 2 * Ranks);
}
