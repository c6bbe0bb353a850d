#pragma once

#include "coordinator/engineclient.h"
#include "core/random.h"
#include "net/asio.h"
#include "placement/expertmap.h"
#include "placement/switchplanner.h"
#include "rebalance/countschedule.h"
#include "rebalance/expertload.h"
#include "rebalance/groupview.h"
#include "rebalance/mapswitch.h"
#include "rebalance/ordertokens.h"
#include "rebalance/switchpolicy.h"
#include "traffic/engineprofile.h"
#include "traffic/serverslowness.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace Cardamomhill
{

class MetricsRegistry;

/// Coordinates one group for one term: reads which experts are chosen, plans maps, and switches to them.
class GroupCoordinator : public std::enable_shared_from_this<GroupCoordinator>
{
public:
    GroupCoordinator(asio::io_context &context,
                     const EngineDialect &dialect,
                     MetricsRegistry &metrics,
                     std::uint64_t term,
                     double linkMegabitsPerSecond);

    void start();

    /// The group, and what its engines can do, as the store shows them now.
    void update(const GroupView &group, const EngineProfile &engine);

    /// The steps of the group take longer than they did, so other experts may be chosen.
    void stepsTurnedSlow();

    /// Begins no further switch. One that holds a step is finished.
    void stop();

    /// The ranks that are slow now.
    ServerSlowness slowRanks() const;

    /// The term has ended: another coordinator is in charge, or this one cannot reach the group.
    bool isOver() const;

private:
    /// Tasks that are spawned hold the coordinator from before their first step.
    static Task<> run(std::shared_ptr<GroupCoordinator> self);
    Task<> runTerm();
    /// Whether no step is held for a switch.
    bool isSettled() const;
    Task<> work();
    /// Asks a rank of a broken group whether it has formed anew; the store shows it seconds later.
    Task<> awaitOpening();
    Task<> readStates();
    void sendOrders();
    /// What it is sent for and through, and the map, are replaced when the group opens anew, which may come first.
    static Task<> sendOrder(std::shared_ptr<GroupCoordinator> self,
                            RankOrder order,
                            std::shared_ptr<MapSwitch> sentFor,
                            std::shared_ptr<EngineClient> client,
                            std::shared_ptr<const std::string> encodedMap);
    void takeAnswer(const RankOrder &order, MapSwitch &sentFor, OrderAnswer answer);
    Task<> readOneState();
    Task<bool> learnMap();
    Task<> considerSwitch();
    Task<> readUsage();
    void takeSpeeds(const std::vector<std::optional<RankState>> &states);
    /// Returns whether the load is known well enough for a plan.
    Task<bool> readLoad(CountReading reading);
    void planSwitchOfMap(CountReading reading);
    void startEpoch();
    void logPhase();

    asio::io_context &m_context;
    const EngineDialect &m_dialect;
    MetricsRegistry &m_metrics;
    double m_linkMegabitsPerSecond;
    OrderTokens m_tokens;
    Random m_random;
    GroupView m_group;
    EngineProfile m_engine;
    /// Shared with calls that are under way when the group opens anew.
    std::vector<std::shared_ptr<EngineClient>> m_clients;
    std::shared_ptr<MapSwitch> m_switch;
    std::shared_ptr<const ExpertMap> m_map;
    /// The map of the switch that is under way, as orders contain it.
    std::shared_ptr<const std::string> m_encodedMap;
    ExpertLoad m_load;
    /// By rank, 1 for the usual speed.
    std::vector<double> m_speeds;
    std::size_t m_countedRank = 0;
    CountSchedule m_schedule;
    SwitchPhase m_loggedPhase = SwitchPhase::Stuck;
    SwitchPolicy m_policy;
    SteadyTime m_nextUsage{};
    bool m_isStopped = false;
    /// Its own task is over, and no further orders are sent.
    bool m_hasEnded = false;
};

} // namespace Cardamomhill
