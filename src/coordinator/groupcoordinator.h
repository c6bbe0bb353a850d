#pragma once

#include "coordinator/engineclient.h"
#include "core/random.h"
#include "net/asio.h"
#include "objectstore/backoff.h"
#include "placement/expertmap.h"
#include "placement/switchplanner.h"
#include "rebalance/counterreadschedule.h"
#include "rebalance/expertload.h"
#include "rebalance/groupview.h"
#include "rebalance/mapswitch.h"
#include "rebalance/ordertokens.h"
#include "rebalance/switchpolicy.h"
#include "traffic/engineprofile.h"
#include "traffic/slowdownfactors.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace Cardamomhill
{

class MetricsRegistry;

/// Coordinates one group for one term: reads how often experts are selected, plans expert maps, and switches to them.
class GroupCoordinator : public std::enable_shared_from_this<GroupCoordinator>
{
public:
    /// Called when the group was formed and takes calls.
    using OpenedObserver = std::function<void(const GroupView &)>;

    GroupCoordinator(asio::io_context &context,
                     const EngineCodec &codec,
                     MetricsRegistry &metrics,
                     std::uint64_t term,
                     double linkMegabitsPerSecond,
                     OpenedObserver onOpened);

    void start();

    /// Updates the group and the profile of its engines to the state in the store.
    void update(const GroupView &group, const EngineProfile &engine);

    /// The steps of the group have become slower, possibly because other experts are selected now.
    void stepsSlowedDown();

    /// Begins no further switch. One that holds a step is completed first.
    void stop();

    /// The ranks that are currently slow.
    SlowdownFactors slowRanks() const;

    /// Whether another coordinator has taken over, or this one cannot reach the group.
    bool hasTermEnded() const;

    /// Whether it was started and may still send orders.
    bool isRunning() const;

private:
    /// Spawned tasks own the coordinator from their creation on, so it cannot be destroyed before they first run.
    static Task<> run(std::shared_ptr<GroupCoordinator> self);
    Task<> runTerm();
    /// Whether the switch, if any, is in a phase in which no step is held.
    bool holdsNoStep() const;
    Task<> driveSwitch();
    /// Asks a rank of a broken group whether the group has formed again, which the store shows only seconds later.
    Task<> checkReopened();
    Task<> readStates();
    void sendOrders();
    /// Delays the next switch if the last one was abandoned.
    void delayAfterAbandonedSwitch(SteadyTime now);
    /// Whether a switch may begin: the last one was not abandoned just now, and the ranks answer quickly enough.
    bool maySwitch(SteadyTime now);
    /// Owns what it uses, since the members are replaced when the group opens again, possibly before the answer.
    static Task<> sendOrder(std::shared_ptr<GroupCoordinator> self,
                            RankOrder order,
                            std::shared_ptr<MapSwitch> originSwitch,
                            std::shared_ptr<EngineClient> client,
                            std::shared_ptr<const std::string> encodedMap);
    void handleAnswer(const RankOrder &order, MapSwitch &originSwitch, OrderAnswer answer);
    Task<> readOneState();
    Task<bool> readMap();
    /// Reads the map and the first counters of a group that was just formed or taken over, while the reports on what
    /// the last coordinator has left are awaited. The first plan then needs only one more reading.
    Task<> readAhead();
    Task<> considerSwitch();
    Task<> readUtilisation();
    void updateSpeeds(const std::vector<std::optional<RankState>> &states);
    /// Returns whether the load is known well enough to plan a switch.
    Task<bool> readLoad(CounterReading reading);
    /// Whether the selections of the current round are spread over other experts than the known load.
    bool hasLoadShifted() const;
    void planMapSwitch(CounterReading reading);
    void startEpoch();
    void logPhase();

    asio::io_context &m_context;
    const EngineCodec &m_codec;
    MetricsRegistry &m_metrics;
    double m_linkMegabitsPerSecond;
    OpenedObserver m_onOpened;
    OrderTokens m_tokens;
    Random m_random;
    GroupView m_group;
    EngineProfile m_engine;
    /// Shared with calls that are still in progress when the group opens again.
    std::vector<std::shared_ptr<EngineClient>> m_clients;
    std::shared_ptr<MapSwitch> m_switch;
    std::shared_ptr<const ExpertMap> m_map;
    /// Version of `m_map` when it was read from the ranks.
    std::uint64_t m_readMapVersion = 0;
    /// Whether the map and the counters were read before the current MapSwitch was idle.
    bool m_hasReadAhead = false;
    /// Encoded map of the switch in progress.
    std::shared_ptr<const std::string> m_encodedMap;
    ExpertLoad m_load;
    /// Indexed by rank; 1 is the usual speed.
    std::vector<double> m_speeds;
    /// The rank that is read where one report suffices, and the first of those whose counters are read.
    std::size_t m_sampledRank = 0;
    CounterReadSchedule m_schedule;
    SwitchPhase m_loggedPhase = SwitchPhase::Stuck;
    SteadyTime m_loggedPhaseAt{};
    SwitchPolicy m_policy;
    Backoff m_switchBackoff;
    SteadyTime m_nextSwitchAt{};
    /// Of the current MapSwitch, as they were last seen.
    std::size_t m_switchCount = 0;
    std::size_t m_abandonedCount = 0;
    SteadyTime m_nextUtilisationRead{};
    bool m_isStopped = false;
    /// Whether the task of run() is running; no orders are sent otherwise.
    bool m_isRunning = false;
};

} // namespace Cardamomhill
