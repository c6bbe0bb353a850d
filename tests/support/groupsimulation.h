#pragma once

#include "group/group.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <tuple>

namespace Cardamomhill
{

/// Simulates the engine of one rank.
struct FakeEngine {
    EngineState state;
    bool checksFencingToken = true;
    bool keepsRecord = true;
    /// Injected fault: applies a delayed order as if it were the newest, whatever step it names.
    bool appliesLateOrders = false;

    EngineReply apply(const EngineOrder &order)
    {
        const EngineOrderResult result = resultOf(order);
        if (result == EngineOrderResult::Applied) {
            perform(order);
        }
        return {order.fencingToken, result, state};
    }

    EngineOrderResult resultOf(const EngineOrder &order) const
    {
        if (order.incarnation != state.incarnation) {
            return EngineOrderResult::OtherIncarnation;
        }
        if (checksFencingToken && order.fencingToken < state.fencingToken) {
            return EngineOrderResult::StaleFencingToken;
        }
        if (order.kind == EngineOrderKind::Hold && order.step < state.nextStep) {
            return EngineOrderResult::StepStarted;
        }
        if (order.kind == EngineOrderKind::Release && !state.holds(order.step) && !appliesLateOrders) {
            return EngineOrderResult::StepNotHeld;
        }
        return EngineOrderResult::Applied;
    }

    void perform(const EngineOrder &order)
    {
        state.fencingToken = order.fencingToken;
        if (appliesLateOrders && order.kind != EngineOrderKind::Claim) {
            state.heldSteps.clear();
        }
        if (order.kind == EngineOrderKind::Hold && !state.holds(order.step)) {
            state.heldSteps.push_back(order.step);
        } else if (order.kind == EngineOrderKind::Release) {
            std::erase(state.heldSteps, order.step);
            if (order.map) {
                state.pendingSwitch = PendingSwitch{order.step, *order.map};
            }
        }
        if (keepsRecord && order.kind != EngineOrderKind::Claim) {
            state.record = order.record;
            state.recordStatus = RecordStatus::Written;
        }
    }

    void startStep()
    {
        if (state.pendingSwitch && state.pendingSwitch->step <= state.nextStep) {
            state.map = state.pendingSwitch->map;
            state.pendingSwitch.reset();
        }
        ++state.nextStep;
    }
};

enum class GroupFaultKind { CrashCoordinator, RestartAgent, PauseAgent, LongPause, StallRank, Propose, ReformGroup };

struct GroupFault {
    int kind = 0;
    int atMs = 0;
    int rank = 0;
    /// Number of messages or a duration in ms, depending on the kind.
    int amount = 0;
    bool twice = false;
};

struct GroupSimulationOptions {
    std::uint32_t rankCount = 3;
    std::uint64_t seed = 1;
    Microseconds oneWayDelay{500};
    Microseconds orderDelay{200};
    Microseconds stepTime = Milliseconds(33);
    /// Maximum random addition to a delay; it reorders messages.
    Microseconds jitter{0};
    int lossPercent = 0;
    int duplicatePercent = 0;
    bool engineChecksFencingToken = true;
    bool engineKeepsRecord = true;
    bool engineAppliesLateOrders = false;
    /// Injected fault: a restarted agent releases its engine's holds and has lost its record, but answers as a member.
    bool losesRecordOnRestart = false;
    /// Injected fault: the transport reports that all ranks have accepted once a majority has.
    bool commitsOnMajority = false;
};

/// A group of ranks with real participants and coordinators on a simulated network and clock.
class GroupSimulation
{
public:
    explicit GroupSimulation(GroupSimulationOptions options)
        : m_options(options)
        , m_random(options.seed)
        , m_agents(options.rankCount)
    {
        for (std::uint32_t rank = 0; rank < options.rankCount; ++rank) {
            FakeEngine &engine = m_agents[rank].engine;
            engine.checksFencingToken = options.engineChecksFencingToken;
            engine.keepsRecord = options.engineKeepsRecord;
            engine.appliesLateOrders = options.engineAppliesLateOrders;
            engine.state.map = {1, 1};
            engine.state.incarnation = 1;
            engine.state.recordStatus = RecordStatus::NeverWritten;
            startAgent(rank);
        }
        attemptStep();
    }

    void runFor(Microseconds duration)
    {
        const SteadyTime end = m_now + duration;
        while (!m_events.empty() && m_events.top().at <= end && violation.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
        }
        m_now = end;
    }

    void at(Microseconds delay, std::function<void()> action)
    {
        m_events.push({m_now + delay, ++m_sequence, std::move(action)});
    }

    void schedule(const GroupFault &fault)
    {
        at(Milliseconds(fault.atMs), [this, fault] { inject(fault); });
        if (fault.twice) {
            at(Milliseconds(fault.atMs + 150), [this, fault] { inject(fault); });
        }
    }

    void stopFaults()
    {
        m_options.lossPercent = 0;
        m_options.duplicatePercent = 0;
        m_options.jitter = Microseconds(0);
        for (Agent &agent : m_agents) {
            agent.messagesUntilCrash = -1;
        }
    }

    bool propose(std::uint32_t rank, ExpertMapId map)
    {
        Agent &agent = m_agents[rank];
        if (!agent.coordinator || isPaused(agent) || !agent.coordinator->propose(map, m_now)) {
            return false;
        }
        flush(rank);
        return true;
    }

    /// All engines form the group again and continue with the newest map of any of them.
    void reformGroup()
    {
        ExpertMapId newest;
        std::uint64_t step = 0;
        for (const Agent &agent : m_agents) {
            newest = std::max(newest, agent.engine.state.finalMap());
            step = std::max(step, agent.engine.state.nextStep);
        }
        ++m_incarnation;
        m_mapByStep.clear();
        for (Agent &agent : m_agents) {
            EngineState state;
            state.incarnation = m_incarnation;
            state.nextStep = step;
            state.map = newest;
            state.recordStatus = m_options.engineKeepsRecord ? RecordStatus::NeverWritten : RecordStatus::Unknown;
            agent.engine.state = state;
            agent.startedStep = 0;
        }
        attemptStep();
    }

    bool anyRankIsExcluded() const
    {
        return std::any_of(m_agents.begin(), m_agents.end(), [](const Agent &agent) {
            return agent.participant && agent.participant->status() == ParticipantStatus::Excluded;
        });
    }

    bool allRanksHave(const ExpertMapId &map) const
    {
        return std::all_of(m_agents.begin(), m_agents.end(), [&map](const Agent &agent) {
            return agent.participant && agent.participant->record().map == map && !agent.participant->record().accepted;
        });
    }

    std::uint64_t newestVersion() const
    {
        std::uint64_t version = 0;
        for (const Agent &agent : m_agents) {
            version = std::max(version, agent.engine.state.finalMap().version);
        }
        return version;
    }

    std::uint64_t stepsStarted() const
    {
        return m_agents.front().engine.state.nextStep;
    }

    std::optional<SwitchResult> takeResult(std::uint32_t rank)
    {
        return std::exchange(m_agents[rank].result, std::nullopt);
    }

    /// The first violated invariant; empty when there is none.
    std::string violation;
    std::uint64_t messages = 0;
    std::uint64_t commits = 0;
    std::uint64_t aborts = 0;
    std::uint64_t takeoverCommits = 0;
    std::uint64_t takeoverAborts = 0;
    std::uint64_t bytes = 0;
    /// Called for each message before it is sent.
    std::function<void(const GroupMessage &)> onSend;
    /// Total time that ranks waited between steps because a step was held, without injected stalls.
    Microseconds waited{0};

private:
    struct Event {
        SteadyTime at;
        std::uint64_t sequence = 0;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::tie(at, sequence) > std::tie(other.at, other.sequence);
        }
    };

    struct Agent {
        FakeEngine engine;
        std::unique_ptr<RankParticipant> participant;
        std::unique_ptr<SwitchCoordinator> coordinator;
        std::optional<SwitchResult> result;
        /// Incremented at each restart; replies to an earlier process are lost.
        std::uint64_t process = 0;
        SteadyTime pausedUntil;
        int messagesUntilCrash = -1;
        Microseconds stall{0};
        std::uint64_t startedStep = 0;
    };

    void startAgent(std::uint32_t rank)
    {
        Agent &agent = m_agents[rank];
        ++agent.process;
        agent.participant = std::make_unique<RankParticipant>(m_group, rank, ParticipantOptions(), m_random);
        startCoordinator(rank);
        report(rank, agent.process);
        tick(rank, agent.process);
    }

    void startCoordinator(std::uint32_t rank)
    {
        CoordinatorOptions options;
        options.rankCount = m_options.rankCount;
        options.ownRank = rank;
        options.stepTime = m_options.stepTime;
        m_agents[rank].coordinator = std::make_unique<SwitchCoordinator>(m_group, options, m_random);
        m_agents[rank].coordinator->onIncarnation(m_agents[rank].participant->incarnation());
    }

    bool isPaused(const Agent &agent) const
    {
        return m_now < agent.pausedUntil;
    }

    /// Runs an action in a process of the agent: dropped if the process has ended, delayed while it is paused.
    void deliver(std::uint32_t rank, std::uint64_t process, const std::function<void(Agent &)> &action)
    {
        Agent &agent = m_agents[rank];
        if (agent.process != process || !agent.participant) {
            return;
        }
        if (isPaused(agent)) {
            at(std::chrono::duration_cast<Microseconds>(agent.pausedUntil - m_now),
               [this, rank, process, action] { deliver(rank, process, action); });
            return;
        }
        action(agent);
        flush(rank);
    }

    EngineState reported(const Agent &agent) const
    {
        EngineState state = agent.engine.state;
        if (!m_options.engineKeepsRecord && state.fencingToken > 0) {
            state.recordStatus = RecordStatus::Unknown;
        }
        return state;
    }

    void report(std::uint32_t rank, std::uint64_t process)
    {
        const EngineState state = reported(m_agents[rank]);
        at(m_options.orderDelay, [this, rank, process, state] {
            deliver(rank, process, [this, state](Agent &agent) {
                agent.participant->onEngineState(state, m_now);
                agent.coordinator->onIncarnation(state.incarnation);
            });
        });
        if (m_agents[rank].process == process) {
            at(Milliseconds(100), [this, rank, process] { report(rank, process); });
        }
    }

    void tick(std::uint32_t rank, std::uint64_t process)
    {
        Agent &agent = m_agents[rank];
        if (agent.process != process) {
            return;
        }
        if (!isPaused(agent)) {
            agent.participant->onTick(m_now);
            agent.coordinator->onTick(m_now);
            flush(rank);
        }
        at(Milliseconds(5), [this, rank, process] { tick(rank, process); });
    }

    void flush(std::uint32_t rank)
    {
        Agent &agent = m_agents[rank];
        ParticipantOutput output = agent.participant->takeOutput();
        for (const GroupMessage &message : output.messages) {
            send(message, message.coordinatorRank);
        }
        for (const EngineOrder &order : output.orders) {
            sendOrder(rank, order);
        }
        for (const ExpertMapId &map : output.stage) {
            at(m_options.orderDelay, [this, rank, process = agent.process, incarnation = m_incarnation, map] {
                deliver(rank, process, [incarnation, map](Agent &stager) {
                    stager.participant->onStaged(incarnation, map);
                });
            });
        }
        checkOutcome(agent.participant->record().lastResolution);
        if (output.takeoverDue) {
            static_cast<void>(agent.coordinator->takeOver(m_now));
        }
        flushCoordinator(rank);
    }

    void flushCoordinator(std::uint32_t rank)
    {
        Agent &agent = m_agents[rank];
        for (const GroupMessage &message : agent.coordinator->takeMessages()) {
            if (agent.messagesUntilCrash == 0) {
                agent.messagesUntilCrash = -1;
                startCoordinator(rank);
                return;
            }
            agent.messagesUntilCrash -= agent.messagesUntilCrash > 0 ? 1 : 0;
            send(message, message.rank);
        }
        if (auto result = agent.coordinator->takeResult()) {
            if (result->kind == SwitchResultKind::Committed || result->kind == SwitchResultKind::Aborted) {
                checkOutcome(result->resolutions.back());
            }
            for (const Resolution &resolution : result->resolutions) {
                if (result->kind == SwitchResultKind::TakenOver) {
                    ++(resolution.outcome == SwitchOutcome::Commit ? takeoverCommits : takeoverAborts);
                }
            }
            agent.result = std::move(result);
        }
    }

    Microseconds delay(Microseconds base)
    {
        return base + Microseconds(m_options.jitter.count() > 0 ? draw(m_options.jitter.count()) : 0);
    }

    std::int64_t draw(std::int64_t limit)
    {
        return static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(limit));
    }

    int copies()
    {
        return draw(100) < m_options.lossPercent ? 0 : draw(100) < m_options.duplicatePercent ? 2 : 1;
    }

    void send(const GroupMessage &message, std::uint32_t to)
    {
        if (onSend) {
            onSend(message);
        }
        const std::string packed = packGroupMessage(message);
        ++messages;
        bytes += packed.size();
        for (int copy = copies(); copy > 0; --copy) {
            at(delay(m_options.oneWayDelay), [this, packed, to] {
                deliver(to, m_agents[to].process, [this, packed](Agent &agent) { receive(agent, packed); });
            });
        }
    }

    void receive(Agent &agent, const std::string &packed)
    {
        const GroupMessage message = unpackGroupMessage(packed).value();
        if (const auto *accepted = std::get_if<Accepted>(&message.body); accepted && m_options.commitsOnMajority) {
            if (++m_accepted[accepted->ballot] > m_options.rankCount / 2) {
                GroupMessage forged = message;
                for (forged.rank = 0; forged.rank < m_options.rankCount; ++forged.rank) {
                    agent.coordinator->onMessage(forged, m_now);
                }
            }
        }
        const auto kind = message.body.index();
        const bool isRequest = kind == 0 || kind == 2 || kind == 4 || kind == 7;
        if (isRequest) {
            agent.participant->onMessage(message, m_now);
        } else {
            agent.coordinator->onMessage(message, m_now);
        }
    }

    void sendOrder(std::uint32_t rank, const EngineOrder &order)
    {
        const std::uint64_t process = m_agents[rank].process;
        for (int copy = copies(); copy > 0; --copy) {
            at(delay(m_options.orderDelay), [this, rank, process, order] {
                Agent &agent = m_agents[rank];
                EngineReply reply = agent.engine.apply(order);
                reply.state = reported(agent);
                if (m_isStepPending) {
                    attemptStep();
                }
                at(delay(m_options.orderDelay), [this, rank, process, reply] {
                    deliver(rank, process, [this, reply](Agent &receiver) {
                        receiver.participant->onEngineReply(reply, m_now);
                    });
                });
            });
        }
    }

    /// Ranks that may start the next step start it; it runs once all have, since the group works in lock-step.
    void attemptStep()
    {
        if (!m_isStepPending) {
            m_isStepPending = true;
            m_stepEnd = m_now;
        }
        bool all = true;
        for (std::uint32_t rank = 0; rank < m_options.rankCount; ++rank) {
            EngineState &state = m_agents[rank].engine.state;
            const std::uint64_t step = state.nextStep;
            if (m_agents[rank].startedStep == step && m_agents[rank].startedStep != 0) {
                continue;
            }
            if (state.holds(step)) {
                all = false;
                continue;
            }
            m_agents[rank].engine.startStep();
            m_agents[rank].startedStep = state.nextStep;
            checkStep(step, rank, state.map);
        }
        if (all) {
            runStep();
        }
    }

    void runStep()
    {
        m_isStepPending = false;
        waited += m_options.rankCount * std::chrono::duration_cast<Microseconds>(m_now - m_stepEnd);
        Microseconds duration = m_options.stepTime;
        for (Agent &agent : m_agents) {
            duration = std::max(duration, m_options.stepTime + std::exchange(agent.stall, Microseconds(0)));
        }
        at(duration, [this, incarnation = m_incarnation] {
            if (incarnation == m_incarnation) {
                for (Agent &agent : m_agents) {
                    agent.startedStep = 0;
                }
                attemptStep();
            }
        });
    }

    void checkStep(std::uint64_t step, std::uint32_t rank, const ExpertMapId &map)
    {
        const auto [entry, isFirst] = m_mapByStep.emplace(step, map);
        if (entry->second != map) {
            violation = "two maps in step " + std::to_string(step) + " at rank " + std::to_string(rank);
        }
        auto &newest = m_newestMap[rank];
        if (map.version < newest) {
            violation = "rank " + std::to_string(rank) + " went back to an older map";
        }
        newest = std::max(newest, map.version);
        m_mapByStep.erase(m_mapByStep.begin(), m_mapByStep.lower_bound(step > 4 ? step - 4 : 0));
    }

    void checkOutcome(const std::optional<Resolution> &resolution)
    {
        if (!resolution) {
            return;
        }
        const auto [entry, isFirst] = m_outcomes.emplace(resolution->proposal.ballot, resolution->outcome);
        if (isFirst) {
            ++(resolution->outcome == SwitchOutcome::Commit ? commits : aborts);
        }
        if (entry->second != resolution->outcome) {
            violation = "a proposal was both committed and aborted";
        }
    }

    void inject(const GroupFault &fault)
    {
        const auto rank = static_cast<std::uint32_t>(fault.rank) % m_options.rankCount;
        Agent &agent = m_agents[rank];
        switch (static_cast<GroupFaultKind>(fault.kind)) {
        case GroupFaultKind::CrashCoordinator:
            agent.messagesUntilCrash = fault.amount % static_cast<int>(8 * m_options.rankCount);
            break;
        case GroupFaultKind::RestartAgent:
            restart(rank, Milliseconds(1 + fault.amount));
            break;
        case GroupFaultKind::PauseAgent:
            agent.pausedUntil = m_now + Milliseconds(fault.amount);
            break;
        case GroupFaultKind::LongPause:
            agent.pausedUntil = m_now + Seconds(30);
            break;
        case GroupFaultKind::StallRank:
            agent.stall = Milliseconds(fault.amount);
            break;
        case GroupFaultKind::Propose:
            propose(rank, {newestVersion() + 1, rank});
            break;
        case GroupFaultKind::ReformGroup:
            reformGroup();
            break;
        }
    }

public:
    void restart(std::uint32_t rank, Microseconds downtime)
    {
        Agent &agent = m_agents[rank];
        if (!agent.participant) {
            return;
        }
        ++agent.process;
        agent.participant.reset();
        agent.coordinator.reset();
        if (m_options.losesRecordOnRestart) {
            agent.engine.state.heldSteps.clear();
            agent.engine.state.recordStatus = RecordStatus::NeverWritten;
        }
        agent.pausedUntil = m_now;
        at(downtime, [this, rank] { startAgent(rank); });
    }

private:
    GroupSimulationOptions m_options;
    Random m_random;
    GroupId m_group{"group-1"};
    SteadyTime m_now{Seconds(1)};
    std::uint64_t m_sequence = 0;
    std::uint64_t m_incarnation = 1;
    std::priority_queue<Event> m_events;
    std::vector<Agent> m_agents;
    bool m_isStepPending = false;
    SteadyTime m_stepEnd;
    std::map<std::uint64_t, ExpertMapId> m_mapByStep;
    std::map<std::uint32_t, std::uint64_t> m_newestMap;
    std::map<Ballot, SwitchOutcome> m_outcomes;
    std::map<Ballot, std::uint32_t> m_accepted;
};

} // namespace Cardamomhill
