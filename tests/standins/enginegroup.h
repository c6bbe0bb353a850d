#pragma once

#include "core/random.h"
#include "core/result.h"
#include "net/asio.h"
#include "net/httpexchange.h"
#include "net/neterror.h"
#include "standins/enginegroupoptions.h"
#include "standins/enginerank.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Cardamomhill
{

class PlatformStore;

/// A stand-in for a group of model engines of the users' platform: ranks that make each pass together, streams that get
/// one event a pass, queues, preemption, and the orders that hold passes and switch expert maps. Other experts become
/// popular every few seconds. Header `X-Events` states how many events a stream has.
class EngineGroup
{
public:
    struct Observers {
        /// Called when a request begins to run here.
        std::function<void(const std::string &)> onRun;
        /// Called for each event that is made.
        std::function<void(const std::string &)> onEvent;
        /// Called when the whole of a stream has been written.
        std::function<void(const std::string &)> onAnswered;
        /// Called when the group breaks off a request.
        std::function<void(const std::string &)> onBrokenOff = [](const std::string &) {};
    };

    EngineGroup(asio::io_context &context, EngineGroupOptions options, Observers observers);

    /// Starts the ranks, each on a free loopback port, and registers them.
    Result<void, NetError> start(PlatformStore &store);

    /// The service of a configuration that such groups serve.
    static nlohmann::json serviceDocument(const std::string &name);

    /// While it is down, the group makes no passes and refuses requests after a while, as one that has lost a rank; its
    /// registrations do not show that.
    void setDown(bool isDown);

    std::uint64_t passCount() const;
    /// Number of switches that all ranks made.
    std::uint64_t switchCount() const;
    /// Number of passes that began with different maps at two ranks.
    std::uint64_t splitPassCount() const;
    std::uint64_t orderCount() const;
    /// How often the group formed anew.
    std::uint64_t reformationCount() const;
    /// Longest time for which a pass was held, in whole passes that could have been made.
    Milliseconds longestHold() const;

private:
    using Json = nlohmann::json;

    Task<> passLoop();
    void pass();
    void registerRanks();
    /// Breaks all streams off, and forgets orders, as a group does that has lost a rank.
    void breakOff();
    Task<> formAnew();
    void runStreams(EngineRank &rank);
    void selectExperts(EngineRank &rank) const;
    Task<> serve(std::size_t rank, HttpExchange &exchange);
    Task<> serveOrder(std::size_t rank, HttpExchange &exchange);
    Task<> serveStream(EngineRank &rank, HttpExchange &exchange);
    Task<bool> beginStream(HttpExchange &exchange);
    Task<bool> sendEvents(EngineStream &stream, HttpExchange &exchange);
    unsigned execute(std::size_t number, const Json &order);
    unsigned prepare(std::size_t number, const Json &order);
    unsigned arm(EngineRank &rank, std::uint64_t version, std::uint64_t step) const;
    unsigned hold(EngineRank &rank, std::uint64_t step) const;
    Json membershipOf(std::size_t rank) const;
    std::string reportOf(std::size_t number) const;
    std::string selectionsOf(std::size_t number, bool withLists) const;
    Task<> sleep(Milliseconds time);
    Milliseconds randomUpTo(Milliseconds largest);
    bool happens(double fraction);

    asio::io_context &m_context;
    EngineGroupOptions m_options;
    Observers m_observers;
    Random m_random;
    std::vector<EngineRank> m_ranks;
    PlatformStore *m_store = nullptr;
    std::uint64_t m_epoch = 1;
    bool m_isOpen = true;
    bool m_isDown = false;
    SteadyTime m_startedAt{};
    std::uint64_t m_heldPasses = 0;
    std::uint64_t m_longestHoldPasses = 0;
    std::uint64_t m_step = 0;
    std::uint64_t m_rankSwitchCount = 0;
    std::uint64_t m_splitPassCount = 0;
    std::uint64_t m_orderCount = 0;
};

} // namespace Cardamomhill
