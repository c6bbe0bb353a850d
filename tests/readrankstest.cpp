#include "coordinator/readranks.h"
#include "net/httpexchange.h"
#include "net/httplimits.h"
#include "net/httpserver.h"
#include "platform/engine.h"
#include "support/freeendpoint.h"

#include <doctest/doctest.h>

using namespace Cardamomhill;

namespace
{

constexpr std::size_t Ranks = 40;
constexpr std::size_t DeadRank = 7;
constexpr std::string_view Report
    = R"({"group":{"epoch":3,"state":"open"},"step":12,"map":1,"num-running":2,"num-waiting":0})";

Task<> answerReport(HttpExchange &exchange)
{
    co_await exchange.sendAnswer(200, "application/json", std::string(Report));
}

} // namespace

TEST_CASE("all ranks of a large group are read, and only one that is down has no value")
{
    asio::io_context context;
    HttpServer server(context, HttpLimits(), answerReport);
    const auto alive = freeEndpoint(context);
    REQUIRE(server.listen(alive, false).has_value());
    const auto dead = freeEndpoint(context);
    const Platform::Engine codec;
    std::vector<std::shared_ptr<EngineClient>> clients;
    for (std::size_t rank = 0; rank < Ranks; ++rank) {
        clients.push_back(
            std::make_shared<EngineClient>(context, rank == DeadRank ? dead : alive, BackendServerId("s"), codec));
    }
    std::vector<std::optional<RankState>> states;
    const auto read = [&]() -> Task<> {
        states = co_await readRanks(context, clients, &EngineClient::readState);
        context.stop();
    };
    spawn(context.get_executor(), "test", read());
    context.run_for(std::chrono::seconds(10));
    REQUIRE(states.size() == Ranks);
    for (std::size_t rank = 0; rank < Ranks; ++rank) {
        CHECK(states[rank].has_value() == (rank != DeadRank));
        CHECK((!states[rank] || states[rank]->step == 12));
    }
}

TEST_CASE("reading a group without ranks completes at once")
{
    asio::io_context context;
    bool isDone = false;
    const auto read = [&]() -> Task<> {
        const auto states = co_await readRanks(context, {}, &EngineClient::readState);
        isDone = states.empty();
    };
    spawn(context.get_executor(), "test", read());
    context.run_for(std::chrono::seconds(1));
    CHECK(isDone);
}
