#include "coordinator/groupcoordinator.h"

#include "coordinator/readranks.h"
#include "logging/logging.h"
#include "metrics/metricsregistry.h"
#include "net/address.h"
#include "net/spawn.h"
#include "net/steadynow.h"

#include <algorithm>
#include <random>
#include <utility>

namespace Cardamomhill
{

namespace
{

constexpr Milliseconds TickPeriod{20};
/// Replaces TickPeriod while no switch is in progress.
constexpr Milliseconds IdlePeriod{100};
/// Time between two readings of the ranks' utilisation while no switch is in progress.
constexpr Milliseconds UtilisationInterval{700};
/// Weight of the selections since the last reading in the estimated load of the experts.
constexpr double RegularReadingWeight = 0.7;
/// Ranks below this share of the usual speed are reported as slow, so that they get fewer calls.
constexpr double SlowSpeedThreshold = 0.8;
/// Minimum pressure at which the utilisation of all ranks is read instead of one, since each reading is charged.
constexpr double AllRanksPressure = 0.5;
/// Delays before the next switch after one that was abandoned.
constexpr Milliseconds FirstSwitchDelay{1000};
constexpr Milliseconds MaxSwitchDelay{16'000};

} // namespace

GroupCoordinator::GroupCoordinator(asio::io_context &context,
                                   const EngineCodec &codec,
                                   MetricsRegistry &metrics,
                                   std::uint64_t term,
                                   double linkMegabitsPerSecond,
                                   OpenedObserver onOpened)
    : m_context(context)
    , m_codec(codec)
    , m_metrics(metrics)
    , m_linkMegabitsPerSecond(linkMegabitsPerSecond)
    , m_onOpened(std::move(onOpened))
    , m_tokens(term)
    , m_random(std::random_device()())
    , m_switchBackoff(FirstSwitchDelay, MaxSwitchDelay)
{
}

void GroupCoordinator::start()
{
    m_isRunning = true;
    spawn(m_context.get_executor(), "group-coordinator", run(shared_from_this()));
}

void GroupCoordinator::update(const GroupView &group, const EngineProfile &engine)
{
    m_engine = engine;
    if (m_switch && group.epoch < m_switch->epoch()) {
        // The store shows a new epoch later than the ranks do.
        return;
    }
    const bool isSameEpoch = m_switch && group.epoch == m_switch->epoch();
    const bool isSame = isSameEpoch && group.hasSameRanks(m_group);
    const bool hasEnded = isSameEpoch ? group.isBroken() : !group.isOpen;
    if (hasEnded && holdsNoStep()) {
        // The group forms again with its initial map. Getting stuck and giving up the lease would only delay the next
        // switch.
        m_switch.reset();
    }
    if (!group.isComplete()) {
        // Registrations expire while ranks are cut off. Keep using the ranks that were known before.
        return;
    }
    m_group = group;
    if (group.isOpen && !(m_switch && isSame)) {
        startEpoch();
    }
}

Task<> GroupCoordinator::checkReopened()
{
    if (m_clients.empty()) {
        co_return;
    }
    const auto rank = m_sampledRank % m_clients.size();
    const auto client = m_clients[rank];
    const auto state = co_await client->readState();
    if (m_switch || m_clients.empty()) {
        co_return;
    }
    if (state.has_error()) {
        m_sampledRank = (rank + 1) % m_clients.size();
    } else if (state.value().isOpen && state.value().epoch > m_group.epoch) {
        m_group.epoch = state.value().epoch;
        startEpoch();
    }
}

void GroupCoordinator::startEpoch()
{
    m_clients.clear();
    for (const auto &rank : m_group.ranks) {
        const auto endpoint = parseAddress(rank.address);
        if (!endpoint) {
            logEvent(LogLevel::Warning, "rank-unusable", {{"server", rank.id.value()}, {"address", rank.address}});
            m_clients.clear();
            m_switch.reset();
            return;
        }
        m_clients.push_back(std::make_shared<EngineClient>(m_context, *endpoint, rank.id, m_codec));
    }
    m_map.reset();
    m_hasReadAhead = false;
    m_load.clear();
    m_schedule.clear();
    m_switch = std::make_shared<MapSwitch>(m_group.ranks.size(), m_group.epoch, m_tokens);
    m_switchCount = 0;
    m_abandonedCount = 0;
    m_sampledRank = m_random() % m_group.ranks.size();
    logEvent(LogLevel::Info,
             "group-opened",
             {{"group", m_group.id.value()}, {"epoch", m_group.epoch}, {"ranks", m_group.ranks.size()}});
    m_onOpened(m_group);
}

bool GroupCoordinator::isRunning() const
{
    return m_isRunning;
}

void GroupCoordinator::stepsSlowedDown()
{
    m_schedule.stepsSlowedDown();
}

void GroupCoordinator::stop()
{
    m_isStopped = true;
}

SlowdownFactors GroupCoordinator::slowRanks() const
{
    SlowdownFactors slowdownFactors;
    for (std::size_t rank = 0; rank < std::min(m_speeds.size(), m_group.ranks.size()); ++rank) {
        if (m_speeds[rank] < SlowSpeedThreshold) {
            slowdownFactors[serverKey(m_group.ranks[rank].id)] = static_cast<float>(1 / m_speeds[rank]);
        }
    }
    return slowdownFactors;
}

bool GroupCoordinator::hasTermEnded() const
{
    return m_switch && (m_switch->phase() == SwitchPhase::Fenced || m_switch->phase() == SwitchPhase::Stuck);
}

Task<> GroupCoordinator::run(std::shared_ptr<GroupCoordinator> self)
{
    co_await self->runTerm();
    self->m_isRunning = false;
}

Task<> GroupCoordinator::runTerm()
{
    asio::steady_timer timer(m_context);
    SystemError error;
    // A switch that holds a step is completed before stopping, since a step that stays held would stop the group.
    while (!error && !(m_isStopped && holdsNoStep())) {
        if (m_switch) {
            co_await driveSwitch();
            logPhase();
        } else {
            co_await checkReopened();
        }
        const bool isBusy = m_switch && m_switch->phase() != SwitchPhase::Idle;
        timer.expires_after(isBusy ? TickPeriod : IdlePeriod);
        co_await timer.async_wait(storeError(error));
    }
}

bool GroupCoordinator::holdsNoStep() const
{
    if (!m_switch) {
        return true;
    }
    switch (m_switch->phase()) {
    case SwitchPhase::Holding:
    case SwitchPhase::Arming:
    case SwitchPhase::Releasing:
    case SwitchPhase::Disarming:
    case SwitchPhase::Abandoning:
        return false;
    default:
        return true;
    }
}

Task<> GroupCoordinator::driveSwitch()
{
    const auto now = steadyNow();
    m_switch->tick(now);
    if (m_switch->phase() == SwitchPhase::Idle) {
        delayAfterAbandonedSwitch(now);
        if (!m_isStopped) {
            co_await considerSwitch();
        }
        co_return;
    }
    sendOrders();
    switch (m_switch->reportNeed(now)) {
    case ReportNeed::AllRanks:
        co_await readStates();
        break;
    case ReportNeed::AnyRank:
        co_await readOneState();
        break;
    case ReportNeed::None:
        if (m_switch->phase() == SwitchPhase::Inspecting && !m_hasReadAhead) {
            co_await readAhead();
        }
        break;
    }
}

void GroupCoordinator::delayAfterAbandonedSwitch(SteadyTime now)
{
    if (m_switch->switchCount() != std::exchange(m_switchCount, m_switch->switchCount())) {
        m_switchBackoff.reset();
    }
    if (m_switch->abandonedCount() != std::exchange(m_abandonedCount, m_switch->abandonedCount())) {
        m_nextSwitchAt = now + m_switchBackoff.next(m_random);
    }
}

bool GroupCoordinator::maySwitch(SteadyTime now)
{
    const bool isQuick = m_switch->canHold();
    if (isQuick && now >= m_nextSwitchAt) {
        return true;
    }
    logEvent(LogLevel::Info,
             "switch-deferred",
             {{"group", m_group.id.value()},
              {"cause", isQuick ? "an earlier switch was abandoned" : "the ranks answer slowly"}});
    m_metrics.counter("switches_deferred_total").add();
    if (!isQuick) {
        m_switch->measureAnswers(now);
    }
    return false;
}

void GroupCoordinator::sendOrders()
{
    for (auto &order : m_switch->takeOrders(steadyNow())) {
        const auto client = m_clients[order.rank];
        spawn(m_context.get_executor(),
              "rank-order",
              sendOrder(shared_from_this(), std::move(order), m_switch, client, m_encodedMap));
    }
}

Task<> GroupCoordinator::sendOrder(std::shared_ptr<GroupCoordinator> self,
                                   RankOrder order,
                                   std::shared_ptr<MapSwitch> originSwitch,
                                   std::shared_ptr<EngineClient> client,
                                   std::shared_ptr<const std::string> encodedMap)
{
    const auto answer = co_await client->send(order, std::move(encodedMap));
    self->handleAnswer(order, *originSwitch, answer);
    if (self->m_switch == originSwitch && self->m_isRunning) {
        self->sendOrders();
    }
}

void GroupCoordinator::handleAnswer(const RankOrder &order, MapSwitch &originSwitch, OrderAnswer answer)
{
    if (answer != OrderAnswer::Accepted) {
        logEvent(LogLevel::Info,
                 "order-not-accepted",
                 {{"group", m_group.id.value()},
                  {"rank", order.rank},
                  {"phase", nameOf(originSwitch.phase())},
                  {"answer", nameOf(answer)},
                  {"elapsed_ms", std::chrono::duration_cast<Milliseconds>(steadyNow() - order.sentAt).count()},
                  {"token", order.token}});
    }
    m_metrics.counter("rank_orders_total{answer=\"" + std::string(nameOf(answer)) + "\"}").add();
    originSwitch.onAnswer(order, answer, steadyNow());
}

Task<> GroupCoordinator::readStates()
{
    const auto switchAtStart = m_switch;
    const auto states = co_await readRanks(m_context, m_clients, &EngineClient::readState);
    if (m_switch != switchAtStart) {
        co_return;
    }
    updateSpeeds(states);
    const bool isOtherMap = std::any_of(states.begin(), states.end(), [this](const auto &state) {
        return state && state->mapVersion != m_readMapVersion;
    });
    if (m_switch->phase() == SwitchPhase::Inspecting && m_hasReadAhead && isOtherMap) {
        // The last coordinator's switch took effect after the map was read.
        m_map.reset();
    }
    m_switch->onReports(states, steadyNow());
}

Task<> GroupCoordinator::readOneState()
{
    const auto switchAtStart = m_switch;
    const auto rank = m_sampledRank;
    const auto client = m_clients[rank];
    const auto state = co_await client->readState();
    if (m_switch != switchAtStart) {
        co_return;
    }
    if (state.has_value()) {
        switchAtStart->onReport(rank, state.value(), steadyNow());
        const double inUse = state.value().runningRequests + state.value().queuedRequests;
        m_policy.observeUtilisation(inUse / std::max<std::uint32_t>(m_engine.slots, 1));
    } else {
        m_sampledRank = (rank + 1) % m_clients.size();
    }
}

Task<bool> GroupCoordinator::readMap()
{
    const auto switchAtStart = m_switch;
    const GroupShape shape{m_clients.size(), m_engine.expertLayers, m_engine.expertsPerLayer};
    const auto held = co_await readRanks(m_context, m_clients, &EngineClient::readHeldExperts);
    if (m_switch != switchAtStart) {
        co_return false;
    }
    auto map = std::make_shared<ExpertMap>(shape);
    std::optional<std::uint64_t> version;
    for (std::size_t rank = 0; rank < shape.ranks; ++rank) {
        const auto &rankExperts = held[rank];
        if (!rankExperts || rankExperts->epoch != switchAtStart->epoch() || rankExperts->experts.size() != shape.layers
            || rankExperts->mapVersion != version.value_or(rankExperts->mapVersion)) {
            co_return false;
        }
        version = rankExperts->mapVersion;
        for (std::size_t layer = 0; layer < shape.layers; ++layer) {
            for (const auto expert : rankExperts->experts[layer]) {
                const ReplicaMove move{
                    MoveKind::Add, static_cast<LayerIndex>(layer), expert, static_cast<RankIndex>(rank)};
                if (map->apply(move).has_error()) {
                    co_return false;
                }
            }
        }
    }
    if (map->validate().has_error()) {
        co_return false;
    }
    m_map = std::move(map);
    m_readMapVersion = *version;
    logEvent(LogLevel::Info, "map-learned", {{"group", m_group.id.value()}, {"version", *version}});
    co_return true;
}

Task<> GroupCoordinator::readAhead()
{
    m_hasReadAhead = true;
    if (m_engine.expertLayers == 0) {
        co_return;
    }
    const auto switchAtStart = m_switch;
    const bool isMapRead = co_await readMap();
    if (isMapRead && m_switch == switchAtStart) {
        co_await readLoad(m_schedule.due(steadyNow(), m_policy.pressure()));
    }
}

Task<> GroupCoordinator::readUtilisation()
{
    // A slow rank makes the whole group busy, so one rank is representative as long as the group is not busy.
    if (m_policy.pressure() < AllRanksPressure) {
        co_await readOneState();
        co_return;
    }
    const auto switchAtStart = m_switch;
    const auto states = co_await readRanks(m_context, m_clients, &EngineClient::readState);
    if (m_switch != switchAtStart) {
        co_return;
    }
    updateSpeeds(states);
    double inUse = 0;
    double knownSlots = 0;
    for (std::size_t rank = 0; rank < states.size(); ++rank) {
        if (states[rank]) {
            switchAtStart->onReport(rank, *states[rank], steadyNow());
            inUse += states[rank]->runningRequests + states[rank]->queuedRequests;
            knownSlots += m_engine.slots;
        }
    }
    if (knownSlots > 0) {
        m_policy.observeUtilisation(inUse / knownSlots);
    }
}

void GroupCoordinator::updateSpeeds(const std::vector<std::optional<RankState>> &states)
{
    m_speeds.resize(states.size(), 1.0);
    for (std::size_t rank = 0; rank < states.size(); ++rank) {
        m_speeds[rank] = states[rank] ? 1 / std::max(states[rank]->slowdownFactor, 1.0) : m_speeds[rank];
    }
}

Task<bool> GroupCoordinator::readLoad(CounterReading reading)
{
    const auto switchAtStart = m_switch;
    const auto cells = static_cast<std::size_t>(m_engine.expertLayers) * m_engine.expertsPerLayer;
    // The sampled ranks are spread over the group, since neighbouring ranks may receive similar requests.
    const auto ranks = m_clients.size();
    const auto sampleSize = SwitchPolicy::sampledRankCount(ranks);
    std::vector<std::size_t> sampledRanks;
    std::vector<std::shared_ptr<EngineClient>> clients;
    for (std::size_t i = 0; i < sampleSize; ++i) {
        sampledRanks.push_back((m_sampledRank + i * ranks / sampleSize) % ranks);
        clients.push_back(m_clients[sampledRanks.back()]);
    }
    const auto counts = co_await readRanks(m_context, std::move(clients), &EngineClient::readCounts);
    if (m_switch != switchAtStart) {
        co_return false;
    }
    for (std::size_t i = 0; i < sampleSize; ++i) {
        const auto rank = sampledRanks[i];
        const bool isRead
            = counts[i] && counts[i]->epoch == switchAtStart->epoch() && counts[i]->counts.size() == cells;
        if (isRead) {
            switchAtStart->recordBegunStep(counts[i]->step);
            m_load.addCounters(rank, counts[i]->counts);
        } else {
            m_load.forget(rank);
        }
    }
    m_schedule.done(reading, steadyNow(), m_policy.pressure());
    if (reading == CounterReading::WindowStart) {
        m_load.discardRound();
        co_return false;
    }
    if (reading == CounterReading::Regular && hasLoadShifted()) {
        m_schedule.loadShifted(steadyNow());
        m_load.discardRound();
        co_return false;
    }
    co_return m_load.finishRound(reading == CounterReading::WindowEnd ? 1 : RegularReadingWeight);
}

bool GroupCoordinator::hasLoadShifted() const
{
    const auto latest = m_load.round();
    if (!latest || m_load.load().empty()) {
        return false;
    }
    return SwitchPolicy::isShift(meanSkew(*m_map, *latest, m_speeds), meanSkew(*m_map, m_load.load(), m_speeds));
}

Task<> GroupCoordinator::considerSwitch()
{
    const bool isCountDue = m_schedule.due(steadyNow(), m_policy.pressure()) != CounterReading::None;
    const bool isUtilisationDue = steadyNow() >= m_nextUtilisationRead;
    if (m_engine.expertLayers == 0 || (!isUtilisationDue && !isCountDue)) {
        co_return;
    }
    if (m_switch->activeMap()) {
        m_map = m_switch->activeMap();
    }
    const GroupShape shape{m_clients.size(), m_engine.expertLayers, m_engine.expertsPerLayer};
    if (m_map && m_map->shape() != shape) {
        // The configuration now states another model.
        m_map.reset();
        m_load.clear();
    }
    if (!m_map) {
        const bool learned = co_await readMap();
        if (!learned) {
            co_return;
        }
    }
    if (isUtilisationDue) {
        m_nextUtilisationRead = steadyNow() + UtilisationInterval;
        co_await readUtilisation();
    }
    // The counters are read after the utilisation, so that the plan uses the latest selections.
    const auto switchAtStart = m_switch;
    if (!switchAtStart) {
        co_return;
    }
    const auto reading = m_schedule.due(steadyNow(), m_policy.pressure());
    if (reading == CounterReading::None) {
        co_return;
    }
    const bool isLoadKnown = co_await readLoad(reading);
    if (isLoadKnown && m_switch == switchAtStart && m_switch->hasTakenEffect()
        && m_switch->phase() == SwitchPhase::Idle) {
        planMapSwitch(reading);
    }
}

void GroupCoordinator::planMapSwitch(CounterReading reading)
{
    const auto plan = planSwitch(*m_map, m_load.load(), m_speeds, m_policy.limits(m_engine, m_clients.size()));
    const bool isWorthwhile = m_policy.isWorthwhile(plan);
    logEvent(LogLevel::Info,
             isWorthwhile ? "switch-planned" : "map-kept",
             {{"group", m_group.id.value()},
              {"reading", nameOf(reading)},
              {"skew", plan.skewBefore},
              {"skew_after", plan.skewAfter},
              {"usage", m_policy.utilisation()},
              {"steps_per_second", m_switch->stepsPerSecond()},
              {"copies", plan.copies},
              {"copies_of_one_rank", plan.maximumCopiesPerRank}});
    if (isWorthwhile && maySwitch(steadyNow())) {
        const auto copyTime = SwitchPolicy::copyTime(m_engine, plan.maximumCopiesPerRank);
        m_encodedMap = std::make_shared<const std::string>(m_codec.encodeMap(plan.map));
        const auto maxConcurrentMaps = SwitchPolicy::maxConcurrentMaps(m_linkMegabitsPerSecond, m_encodedMap->size());
        m_switch->begin(std::make_shared<const ExpertMap>(plan.map), copyTime, maxConcurrentMaps, steadyNow());
        m_switch->tick(steadyNow());
        sendOrders();
    }
}

void GroupCoordinator::logPhase()
{
    if (!m_switch || m_switch->phase() == m_loggedPhase) {
        return;
    }
    m_loggedPhase = m_switch->phase();
    const auto now = steadyNow();
    const auto previousTime = std::chrono::duration_cast<Milliseconds>(now - std::exchange(m_loggedPhaseAt, now));
    m_metrics.counter("switch_phases_total{phase=\"" + std::string(nameOf(m_loggedPhase)) + "\"}").add();
    logEvent(LogLevel::Info,
             "switch-phase",
             {{"group", m_group.id.value()},
              {"epoch", m_switch->epoch()},
              {"phase", nameOf(m_loggedPhase)},
              {"version", m_switch->version()},
              {"step", m_switch->step()},
              {"previous_ms", previousTime.count()},
              {"switches", m_switch->switchCount()},
              {"abandoned", m_switch->abandonedCount()}});
}

} // namespace Cardamomhill
