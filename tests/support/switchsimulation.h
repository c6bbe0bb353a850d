#pragma once

#include "core/random.h"
#include "rebalance/mapswitch.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Cardamomhill
{

/// Fault probabilities of a SwitchSimulation, and defects of the code under test that its checks must detect.
struct SwitchSimulationFaults {
    double lostRequest = 0.05;
    double lostAnswer = 0.1;
    /// The order gets no answer and is carried out 2 to 12 s later.
    double lateOrder = 0.15;
    /// Largest time between the execution of an order and its answer.
    Milliseconds maxAnswerDelay{1};
    /// Probabilities per second.
    double coordinatorDeath = 0.05;
    double coordinatorFreeze = 0.05;
    double rankRestart = 0.03;
    /// Defects that the checks must detect.
    bool engineIgnoresTokens = false;
    bool lostIsAccepted = false;
};

/// Simulates a group of engines and its coordinators. The engines handle orders as the platform documents it.
class SwitchSimulation
{
public:
    SwitchSimulation(std::uint64_t seed, SwitchSimulationFaults faults)
        : m_random(seed)
        , m_faults(faults)
        , m_ranks(Ranks)
    {
    }

    void run(Seconds faultyTime, Seconds calmTime)
    {
        startCoordinator();
        at(StepTime, [this] { beginStep(); });
        const auto faultsEndAt = m_now + faultyTime;
        const auto end = faultsEndAt + calmTime;
        while (m_now < end && m_violation.empty()) {
            m_areFaultsOver = m_now >= faultsEndAt;
            advance();
        }
        if (m_violation.empty() && m_now - m_lastStepAt > Seconds(1)) {
            m_violation = "the group has stopped running steps";
        }
    }

    const std::string &violation() const
    {
        return m_violation;
    }

    /// The longest time for which the group was stopped before a step.
    Microseconds longestHold() const
    {
        return m_longestHold;
    }

    std::size_t switches() const
    {
        return m_switchCount;
    }

private:
    static constexpr std::size_t Ranks = 4;
    static constexpr std::size_t MaxConcurrentMaps = 3;
    static constexpr Milliseconds Tick{20};
    static constexpr Milliseconds StepTime{40};
    static constexpr Milliseconds ReportDelay{200};
    static constexpr Milliseconds CopyTime{150};
    static constexpr Milliseconds LeaseTime{4500};

    struct Rank {
        std::uint64_t highestToken = 0;
        std::uint64_t mapVersion = 0;
        std::uint64_t newestVersion = 0;
        std::optional<std::uint64_t> prepared;
        SteadyTime preparedAt{};
        std::optional<ArmedMap> armed;
        std::optional<std::uint64_t> held;
    };

    struct Coordinator {
        explicit Coordinator(std::uint64_t term, std::uint64_t epoch)
            : tokens(term)
            , mapSwitch(std::make_unique<MapSwitch>(Ranks, epoch, tokens))
        {
        }

        OrderTokens tokens;
        std::unique_ptr<MapSwitch> mapSwitch;
        SteadyTime frozenUntil{};
        bool isDead = false;
    };

    struct Snapshot {
        SteadyTime time;
        std::vector<RankState> states;
    };

    void at(Microseconds delay, std::function<void()> action)
    {
        m_events.emplace(m_now + delay, std::move(action));
    }

    bool happens(double probability)
    {
        return !m_areFaultsOver && std::uniform_real_distribution<double>()(m_random) < probability;
    }

    Microseconds between(Milliseconds low, Milliseconds high)
    {
        return Milliseconds(std::uniform_int_distribution<std::int64_t>(low.count(), high.count())(m_random));
    }

    void advance()
    {
        const auto next = m_events.begin();
        m_now = next->first;
        const auto action = std::move(next->second);
        m_events.erase(next);
        action();
    }

    void startCoordinator()
    {
        const auto coordinator = std::make_shared<Coordinator>(++m_term, m_epoch);
        m_coordinator = coordinator;
        at(Tick, [this, coordinator] { drive(coordinator); });
    }

    void drive(const std::shared_ptr<Coordinator> &coordinator)
    {
        if (coordinator->isDead) {
            return;
        }
        if (m_now < coordinator->frozenUntil) {
            at(Tick, [this, coordinator] { drive(coordinator); });
            return;
        }
        constexpr double TicksPerSecond = 50;
        if (happens(m_faults.coordinatorDeath / TicksPerSecond)) {
            coordinator->isDead = true;
            at(LeaseTime, [this] { startCoordinator(); });
            return;
        }
        if (coordinator == m_coordinator && happens(m_faults.coordinatorFreeze / TicksPerSecond)) {
            // Another coordinator takes over, and this one resumes later in the middle of its work.
            coordinator->frozenUntil = m_now + between(Milliseconds(500), Milliseconds(9000));
            at(LeaseTime, [this] { startCoordinator(); });
        }
        work(coordinator);
        at(Tick, [this, coordinator] { drive(coordinator); });
    }

    void work(const std::shared_ptr<Coordinator> &coordinator)
    {
        auto &mapSwitch = *coordinator->mapSwitch;
        mapSwitch.tick(m_now);
        switch (mapSwitch.phase()) {
        case SwitchPhase::Idle:
            if (std::uniform_int_distribution<int>(0, 20)(m_random) == 0) {
                mapSwitch.begin(
                    std::make_shared<ExpertMap>(GroupShape{Ranks, 1, 1}), CopyTime, MaxConcurrentMaps, m_now);
            }
            break;
        case SwitchPhase::EpochEnded:
            coordinator->mapSwitch = std::make_unique<MapSwitch>(Ranks, m_epoch, coordinator->tokens);
            return;
        case SwitchPhase::Stuck:
        case SwitchPhase::Fenced:
            coordinator->isDead = true;
            if (coordinator == m_coordinator) {
                at(LeaseTime, [this] { startCoordinator(); });
            }
            return;
        default:
            break;
        }
        if (mapSwitch.phase() != SwitchPhase::Idle && mapSwitch.epoch() != m_epoch) {
            // The store shows the new epoch later than the ranks do.
            if (std::uniform_int_distribution<int>(0, 30)(m_random) == 0) {
                coordinator->mapSwitch = std::make_unique<MapSwitch>(Ranks, m_epoch, coordinator->tokens);
                return;
            }
        }
        send(coordinator);
        const auto need = mapSwitch.reportNeed(m_now);
        if (need == ReportNeed::None) {
            return;
        }
        const auto states = reports();
        if (need == ReportNeed::AllRanks) {
            mapSwitch.onReports(states, m_now);
        } else if (states[0]) {
            mapSwitch.onReport(0, *states[0], m_now);
        }
    }

    void send(const std::shared_ptr<Coordinator> &coordinator)
    {
        auto *const originSwitch = coordinator->mapSwitch.get();
        for (const auto &order : originSwitch->takeOrders(m_now)) {
            const auto answer = [this, coordinator, originSwitch, order](OrderAnswer result) {
                if (!coordinator->isDead && coordinator->mapSwitch.get() == originSwitch) {
                    deliverAnswer(coordinator, order, result);
                }
            };
            if (happens(m_faults.lostRequest)) {
                at(order.answerLimit, [answer] { answer(OrderAnswer::NoAnswer); });
            } else if (happens(m_faults.lateOrder)) {
                at(between(Milliseconds(2000), Milliseconds(12'000)), [this, order] { execute(order); });
                at(order.answerLimit, [answer] { answer(OrderAnswer::NoAnswer); });
            } else {
                const bool isLost = happens(m_faults.lostAnswer);
                at(between(Milliseconds(1), Milliseconds(5)), [this, order, answer, isLost] {
                    const auto result = execute(order);
                    const Microseconds delay = between(Milliseconds(1), m_faults.maxAnswerDelay);
                    const bool isAnswered = !isLost && delay <= order.answerLimit;
                    at(isAnswered ? delay : order.answerLimit,
                       [answer, isAnswered, result] { answer(isAnswered ? result : OrderAnswer::NoAnswer); });
                });
            }
        }
    }

    void deliverAnswer(const std::shared_ptr<Coordinator> &coordinator, const RankOrder &order, OrderAnswer answer)
    {
        if (m_now < coordinator->frozenUntil) {
            at(coordinator->frozenUntil - m_now,
               [this, coordinator, order, answer] { deliverAnswer(coordinator, order, answer); });
            return;
        }
        if (m_faults.lostIsAccepted && answer == OrderAnswer::NoAnswer) {
            answer = OrderAnswer::Accepted;
        }
        const auto before = coordinator->mapSwitch->switchCount();
        coordinator->mapSwitch->onAnswer(order, answer, m_now);
        m_switchCount += coordinator->mapSwitch->switchCount() - before;
        send(coordinator);
    }

    OrderAnswer execute(const RankOrder &order)
    {
        auto &rank = m_ranks[order.rank];
        if (order.epoch != m_epoch) {
            return OrderAnswer::Conflict;
        }
        if (order.token < rank.highestToken && !m_faults.engineIgnoresTokens) {
            return OrderAnswer::Fenced;
        }
        rank.highestToken = std::max(rank.highestToken, order.token);
        return std::visit([this, &rank](const auto &action) { return apply(rank, action); }, order.action);
    }

    OrderAnswer apply(Rank &rank, const PrepareMap &action)
    {
        if (rank.prepared == action.version) {
            return OrderAnswer::Accepted;
        }
        if (action.version <= rank.newestVersion || rank.armed) {
            return OrderAnswer::Conflict;
        }
        rank.newestVersion = action.version;
        rank.prepared = action.version;
        rank.preparedAt = m_now + CopyTime + between(Milliseconds(0), Milliseconds(60));
        return OrderAnswer::Accepted;
    }

    OrderAnswer apply(Rank &rank, const ArmMap &action)
    {
        const ArmedMap armed{action.version, action.step};
        if (rank.armed == armed) {
            return OrderAnswer::Accepted;
        }
        if (rank.prepared != action.version || m_now < rank.preparedAt || action.step <= m_step) {
            return OrderAnswer::Conflict;
        }
        rank.armed = armed;
        return OrderAnswer::Accepted;
    }

    OrderAnswer apply(Rank &rank, const DisarmMap &action)
    {
        if (rank.mapVersion == action.version) {
            return OrderAnswer::Conflict;
        }
        if (rank.armed && rank.armed->version == action.version) {
            rank.armed.reset();
        }
        return OrderAnswer::Accepted;
    }

    OrderAnswer apply(Rank &rank, const HoldStep &action)
    {
        if (action.step <= m_step || (rank.held && *rank.held != action.step)) {
            return OrderAnswer::Conflict;
        }
        rank.held = action.step;
        return OrderAnswer::Accepted;
    }

    OrderAnswer apply(Rank &rank, const ReleaseStep &action)
    {
        if (rank.held == action.step) {
            rank.held.reset();
        }
        return OrderAnswer::Accepted;
    }

    void beginStep()
    {
        constexpr double StepsPerSecond = 25;
        if (happens(m_faults.rankRestart / StepsPerSecond)) {
            ++m_epoch;
            m_ranks.assign(Ranks, Rank{});
            m_step = 0;
            m_history.clear();
        }
        const auto next = m_step + 1;
        const bool isHeld
            = std::any_of(m_ranks.begin(), m_ranks.end(), [next](const Rank &rank) { return rank.held == next; });
        m_longestHold = std::max<Microseconds>(
            m_longestHold, std::chrono::duration_cast<Microseconds>(m_now - m_lastStepAt) - StepTime);
        if (!isHeld) {
            m_step = next;
            m_lastStepAt = m_now;
            std::set<std::uint64_t> maps;
            for (auto &rank : m_ranks) {
                if (rank.armed && rank.armed->step == m_step) {
                    rank.mapVersion = rank.armed->version;
                    rank.armed.reset();
                }
                maps.insert(rank.mapVersion);
            }
            if (maps.size() > 1) {
                m_violation = "a step began with two maps";
            }
        }
        recordSnapshot();
        at(StepTime, [this] { beginStep(); });
    }

    void recordSnapshot()
    {
        Snapshot snapshot{m_now, {}};
        for (const auto &rank : m_ranks) {
            RankState state;
            state.epoch = m_epoch;
            state.isOpen = true;
            state.step = m_step;
            state.mapVersion = rank.mapVersion;
            state.armed = rank.armed;
            state.heldStep = rank.held;
            snapshot.states.push_back(state);
        }
        m_history.push_back(std::move(snapshot));
        constexpr std::size_t MaxSnapshots = 20;
        if (m_history.size() > MaxSnapshots) {
            m_history.erase(m_history.begin());
        }
    }

    std::vector<std::optional<RankState>> reports()
    {
        std::vector<std::optional<RankState>> states(Ranks);
        for (const auto &snapshot : m_history) {
            if (snapshot.time > m_now - ReportDelay && states[0]) {
                break;
            }
            for (std::size_t rank = 0; rank < Ranks; ++rank) {
                states[rank] = snapshot.states[rank];
            }
        }
        for (auto &state : states) {
            if (happens(m_faults.lostAnswer)) {
                state.reset();
            }
        }
        return states;
    }

    Random m_random;
    SwitchSimulationFaults m_faults;
    SteadyTime m_now{Seconds(1000)};
    std::multimap<SteadyTime, std::function<void()>> m_events;
    std::vector<Rank> m_ranks;
    std::uint64_t m_epoch = 1;
    std::uint64_t m_step = 0;
    SteadyTime m_lastStepAt = m_now;
    Microseconds m_longestHold{0};
    std::vector<Snapshot> m_history;
    std::uint64_t m_term = 0;
    std::shared_ptr<Coordinator> m_coordinator;
    std::size_t m_switchCount = 0;
    std::string m_violation;
    bool m_areFaultsOver = false;
};

} // namespace Cardamomhill
