#pragma once

#include "execution/execution.h"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace Cardamomhill
{

enum class FaultKind {
    Handover,
    Leave,
    Crash,
    Retire,
    Pause,
    ClockStep,
    PlatformOutage,
    LostWriteResponses,
    EngineFailure,
    Network
};

constexpr auto nameTable(FaultKind)
{
    return std::to_array<NamedValue<FaultKind>>({
        {FaultKind::Handover, "handover"},
        {FaultKind::Leave, "leave"},
        {FaultKind::Crash, "crash"},
        {FaultKind::Retire, "retire"},
        {FaultKind::Pause, "pause"},
        {FaultKind::ClockStep, "clock-step"},
        {FaultKind::PlatformOutage, "platform-outage"},
        {FaultKind::LostWriteResponses, "lost-write-responses"},
        {FaultKind::EngineFailure, "engine-failure"},
        {FaultKind::Network, "network"},
    });
}

/// One planned fault. `amount`, from 0 to 1000, scales its duration or extent.
struct Fault {
    FaultKind kind;
    int atMs;
    int agent;
    int amount;
    /// The fault occurs again soon after its end.
    bool twice;
};

struct Schedule {
    std::uint64_t seed;
    bool smallRegistry;
    std::vector<Fault> faults;
};

inline void showValue(const Schedule &schedule, std::ostream &out)
{
    out << "seed " << schedule.seed << (schedule.smallRegistry ? ", small registry" : "");
    for (const Fault &fault : schedule.faults) {
        out << "\n  " << fault.atMs << " ms: " << nameOf(fault.kind) << " agent " << fault.agent << " amount "
            << fault.amount << (fault.twice ? " twice" : "");
    }
}

/// Violations of the design's assumptions, to test the checker: each must make it find a violation.
struct SeededFault {
    /// ClockBounds::maximumClockSkew of the registries; the clocks of a schedule differ by up to 1 s.
    Milliseconds registryMaximumClockSkew{1000};
    /// A restarted agent serves the slots that an old copy of the table assigns to it, without claiming them.
    bool servesFromOldTable = false;
    /// The transport drops one record of each transfer.
    bool transferLosesRecord = false;
    /// The platform ignores the version in conditional writes.
    bool unconditionalWrites = false;
    /// The operator retires a backend server whose host is still running.
    bool retiresRunningServer = false;
    /// Each run of an agent uses the same random seed, so it repeats the operation ids of the run before.
    bool repeatsOperationIds = false;
};

/// How often something occurred, by its name.
using Counts = std::map<std::string, int>;

inline void addCounts(Counts &sum, const Counts &counts)
{
    for (const auto &[name, count] : counts) {
        sum[name] += count;
    }
}

/// Simulates three agents, a platform and clients that retry, in simulated time. The agents run the library's code. The
/// checker reports each key that is executed twice, or executed after the answer "not run", and each slot that two
/// agents serve.
class ExecutionSimulation
{
public:
    ExecutionSimulation(const Schedule &schedule, const SeededFault &seeded)
        : m_seeded(seeded)
        , m_random(schedule.seed)
        , m_limits{schedule.smallRegistry ? std::size_t{12} : std::size_t{10'000}, std::size_t{1} << 20U, 64}
    {
        for (int index = 0; index < agentCount; ++index) {
            m_agents[index].id = BackendServerId("agent-" + std::to_string(index));
            m_agents[index].clockOffset = drawClockOffset();
            m_ids.push_back(m_agents[index].id);
        }
        store(SlotTable::create(m_ids, OperationId("operator")).value());
        for (int index = 0; index < agentCount; ++index) {
            start(index);
            tick(index);
            distributeTable(index);
        }
        for (int request = 0; request < 30; ++request) {
            planRequest(draw(6'000, 60'000));
        }
        for (const Fault &fault : schedule.faults) {
            at(fault.atMs, [this, fault] { inject(fault); });
            for (int request = 0; request < 8; ++request) {
                planRequest(fault.atMs + (request < 4 ? draw(-1'500, 2'500) : draw(-250, 0)));
            }
        }
    }

    void run()
    {
        while (!m_events.empty() && m_events.top().time <= endMs && m_violations.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.action();
        }
        for (const auto &[key, history] : m_history) {
            if (history.executions > 0 && history.answeredNotRun) {
                m_violations.insert("a key was answered not-run and executed");
            }
        }
        for (const Request &request : m_requests) {
            count(request);
        }
    }

    const std::set<std::string> &violations() const
    {
        return m_violations;
    }

    /// How often each decision and each change of a slot's phase occurred in this schedule.
    const Counts &reached() const
    {
        return m_reached;
    }

    /// How many requests ended with each outcome, as their clients saw it.
    const Counts &outcomes() const
    {
        return m_outcomes;
    }

private:
    static constexpr int agentCount = 3;
    static constexpr std::int64_t endMs = 110'000;
    static constexpr std::int64_t epochMs = 1'700'000'000'000;
    static constexpr std::int64_t attemptTimeoutMs = 1'000;
    static constexpr std::int64_t requestDeadlineMs = 40'000;
    static constexpr Milliseconds lifetime{45'000};
    static constexpr std::size_t testedSlots = 3;

    struct Event {
        std::int64_t time;
        std::uint64_t sequence;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::tie(time, sequence) > std::tie(other.time, other.sequence);
        }
    };

    struct Agent {
        BackendServerId id;
        std::int64_t clockOffset = 0;
        std::uint64_t run = 0;
        bool paused = false;
        Random random;
        std::optional<ExecutionRegistry> registry;
        std::optional<SlotHandover> handover;
        std::vector<std::function<void()>> inbox;
        std::map<std::string, std::vector<std::size_t>> waiting;
        std::array<SlotPhase, testedSlots> phases{};
    };

    struct Request {
        OrganisationId organisation;
        IdempotencyKey key;
        std::int64_t deadline;
        std::optional<DecisionKind> outcome = std::nullopt;
        bool sawRejection = false;
        bool mayRepeat = true;
    };

    struct KeyHistory {
        int executions = 0;
        bool answeredNotRun = false;
        std::optional<std::string> answer = std::nullopt;
    };

    int draw(int low, int high)
    {
        return std::uniform_int_distribution<int>(low, high)(m_random);
    }

    bool chance(int percent)
    {
        return draw(1, 100) <= percent;
    }

    /// The clocks of agents differ by up to 1 s; half of the offsets are at an end of that range.
    int drawClockOffset()
    {
        return chance(50) ? draw(-500, 500) : 500 - 1'000 * draw(0, 1);
    }

    void at(std::int64_t time, std::function<void()> action)
    {
        m_events.push({std::max(time, m_now), m_sequence++, std::move(action)});
    }

    void after(std::int64_t delay, std::function<void()> action)
    {
        at(m_now + delay, std::move(action));
    }

    /// Delivers a message after a delay, possibly twice, late or not at all.
    void send(const std::function<void()> &action)
    {
        const bool unreliable = m_now < m_networkUnreliableUntil;
        if (unreliable && chance(20)) {
            return;
        }
        after(unreliable && chance(30) ? draw(100, 8'000) : draw(1, 20), action);
        if (chance(unreliable ? 30 : 5)) {
            after(draw(1, chance(50) ? 500 : 45'000), action);
        }
    }

    /// Runs an action in an agent's process; a paused process runs it when it resumes. If `run` is given, the action is
    /// dropped once that run of the process has ended.
    void runInAgent(int index, std::optional<std::uint64_t> run, const std::function<void()> &action)
    {
        Agent &agent = m_agents[index];
        if (!agent.registry || (run && agent.run != *run)) {
            return;
        }
        if (agent.paused) {
            agent.inbox.push_back([this, index, run, action] { runInAgent(index, run, action); });
            return;
        }
        action();
        checkSingleOwner();
    }

    WallTime wallOf(const Agent &agent) const
    {
        return WallTime(Milliseconds(epochMs + m_now + agent.clockOffset));
    }

    SteadyTime steady() const
    {
        return SteadyTime(Milliseconds(m_now));
    }

    void start(int index)
    {
        Agent &agent = m_agents[index];
        ++agent.run;
        agent.random.seed(m_seeded.repeatsOperationIds ? 1 + static_cast<std::uint64_t>(index) : m_random());
        agent.phases.fill(SlotPhase::NotOwned);
        agent.registry.emplace(m_limits, ClockBounds{Milliseconds(1000), m_seeded.registryMaximumClockSkew}, lifetime);
        agent.handover.emplace(agent.id, *agent.registry, agent.random);
        // An agent starts with a copy of the table from a peer, which may be old.
        const int newest = static_cast<int>(m_tables.size()) - 1;
        const auto copy = m_tables[static_cast<std::size_t>(chance(40) ? draw(0, newest) : newest)];
        if (m_seeded.servesFromOldTable) {
            forEachSlot(copy->slotsOwnedBy(agent.id),
                        [&](SlotNumber slot) { (void)agent.registry->serveWithoutRecords(slot, wallOf(agent)); });
        } else {
            agent.handover->applyTable(*copy);
        }
        checkSingleOwner();
    }

    void stop(int index)
    {
        Agent &agent = m_agents[index];
        agent.handover.reset();
        agent.registry.reset();
        agent.inbox.clear();
        agent.waiting.clear();
        agent.paused = false;
    }

    void tick(int index)
    {
        Agent &agent = m_agents[index];
        if (agent.registry && !agent.paused) {
            agent.registry->removeExpired(wallOf(agent), 100);
            pollHandover(index);
        }
        after(50, [this, index] { tick(index); });
    }

    void pollHandover(int index)
    {
        for (HandoverAction &action : m_agents[index].handover->poll(steady())) {
            if (const auto *call = std::get_if<SlotTableCall>(&action)) {
                send([this, index, run = m_agents[index].run, call = *call] { servePlatform(index, run, call); });
            } else {
                sendToAgent(index, std::get<HandoverMessage>(std::move(action)));
            }
        }
        checkSingleOwner();
    }

    void sendToAgent(int from, HandoverMessage message)
    {
        const auto to = static_cast<int>(std::find(m_ids.begin(), m_ids.end(), message.to) - m_ids.begin());
        if (auto *transfer = std::get_if<SlotTransfer>(&message.content)) {
            if (m_seeded.transferLosesRecord && !transfer->content.records.empty()) {
                transfer->content.records.pop_back();
            }
            send([this, from, to, transfer = *transfer] {
                runInAgent(to, std::nullopt, [this, from, to, transfer] {
                    m_agents[to].handover->receive(m_ids[static_cast<std::size_t>(from)], transfer);
                });
            });
        } else {
            send([this, to, reply = std::get<TransferReply>(message.content)] {
                runInAgent(to, std::nullopt, [this, to, reply] { m_agents[to].handover->receive(reply); });
            });
        }
    }

    void servePlatform(int index, std::uint64_t run, const SlotTableCall &call)
    {
        if (m_now < m_platformDownUntil) {
            if (chance(50)) {
                send([this, index, run, id = call.id] {
                    runInAgent(
                        index, run, [this, index, id] { m_agents[index].handover->handleCallFailure(id, steady()); });
                });
            }
            return;
        }
        if (!call.write) {
            send([this, index, run, id = call.id, table = m_tables.back()] {
                runInAgent(index, run, [this, index, id, table] {
                    Agent &agent = m_agents[index];
                    agent.handover->handleTableRead(id, *table, steady(), wallOf(agent));
                });
            });
            return;
        }
        if (call.write->version() == m_tables.back()->version() || m_seeded.unconditionalWrites) {
            store(*call.write);
        }
        if (m_responsesToLose > 0) {
            --m_responsesToLose;
            return;
        }
        send([this, index, run, id = call.id] {
            runInAgent(index, run, [this, index, id] { m_agents[index].handover->handleWriteResponse(id, steady()); });
        });
    }

    /// Stores a table as the platform does: as JSON under a new version.
    void store(const SlotTable &table)
    {
        const std::uint64_t version = m_tables.empty() ? 1 : m_tables.back()->version() + 1;
        m_tables.push_back(std::make_shared<SlotTable>(SlotTable::fromJson(table.toJson(), version).value()));
    }

    /// Sends the table to an agent every 0.5 to 1.5 s; it may arrive late.
    void distributeTable(int index)
    {
        if (m_now >= m_platformDownUntil) {
            send([this, index, table = m_tables.back()] {
                runInAgent(index, std::nullopt, [this, index, table] { m_agents[index].handover->applyTable(*table); });
            });
        }
        after(draw(500, 1'500), [this, index] { distributeTable(index); });
    }

    void inject(const Fault &fault)
    {
        Agent &agent = m_agents[fault.agent];
        const std::int64_t length = apply(fault, agent);
        if (fault.twice) {
            Fault again = fault;
            again.twice = false;
            if (fault.kind == FaultKind::Retire) {
                again.agent = (fault.agent + 1) % agentCount;
            }
            after(length + draw(1, 1'500), [this, again] { inject(again); });
        }
    }

    /// Returns how long the fault lasts, in milliseconds.
    std::int64_t apply(const Fault &fault, Agent &agent)
    {
        const int index = fault.agent;
        const int amount = fault.amount;
        switch (fault.kind) {
        case FaultKind::Handover:
            handOverAll(index, (index + 1 + amount % 2) % agentCount);
            return 0;
        case FaultKind::Leave:
            return leave(index, (index + 1 + amount % 2) % agentCount, amount);
        case FaultKind::Crash:
            stop(index);
            // Most restarts are short, because then the clock may step back further than the restart takes.
            after(amount * amount / 1'000, [this, index] { restart(index); });
            return amount * amount / 1'000;
        case FaultKind::Retire:
            retire(index, amount);
            return 0;
        case FaultKind::Pause:
            return pause(index, std::int64_t{30} * amount);
        case FaultKind::ClockStep:
            agent.clockOffset = amount - 500;
            return 0;
        case FaultKind::PlatformOutage:
            m_platformDownUntil = m_now + std::int64_t{20} * amount;
            return std::int64_t{20} * amount;
        case FaultKind::LostWriteResponses:
            m_responsesToLose += 1 + amount % 2;
            return 0;
        case FaultKind::EngineFailure:
            m_engineFailsUntil = m_now + std::int64_t{2} * amount;
            return std::int64_t{2} * amount;
        case FaultKind::Network:
            m_networkUnreliableUntil = m_now + std::int64_t{10} * amount;
            return std::int64_t{10} * amount;
        }
        return 0;
    }

    void restart(int index)
    {
        Agent &agent = m_agents[index];
        if (!agent.registry && !m_retired.contains(agent.id)) {
            agent.clockOffset = drawClockOffset();
            start(index);
        }
    }

    /// The agent hands its slots over, ends after 2 to 10 s whether or not that succeeded, and starts again.
    std::int64_t leave(int index, int to, int amount)
    {
        runInAgent(index, std::nullopt, [this, index] { m_agents[index].registry->refuseNewKeys(); });
        handOverAll(index, to);
        const std::int64_t length = 2'000 + std::int64_t{8} * amount;
        after(length, [this, index, run = m_agents[index].run] {
            if (m_agents[index].run == run) {
                stop(index);
                restart(index);
            }
        });
        return length;
    }

    void handOverAll(int from, int to)
    {
        runInAgent(from, std::nullopt, [this, from, to] {
            for (std::size_t slot = 0; slot < testedSlots; ++slot) {
                (void)m_agents[from].handover->startHandover(static_cast<SlotNumber>(slot),
                                                             m_ids[static_cast<std::size_t>(to)]);
            }
        });
    }

    std::int64_t pause(int index, std::int64_t length)
    {
        Agent &agent = m_agents[index];
        if (!agent.registry || agent.paused) {
            return 0;
        }
        agent.paused = true;
        after(length, [this, index, run = agent.run] {
            Agent &resumed = m_agents[index];
            if (resumed.run == run && resumed.paused) {
                resumed.paused = false;
                for (const auto &action : std::exchange(resumed.inbox, {})) {
                    action();
                }
            }
        });
        return length;
    }

    void retire(int index, int amount)
    {
        if (m_retired.size() + 1 == agentCount || !m_retired.insert(m_agents[index].id).second) {
            return;
        }
        if (!m_seeded.retiresRunningServer) {
            stop(index);
        }
        after(amount, [this] { writeRetirement(); });
    }

    void writeRetirement()
    {
        if (m_now < m_platformDownUntil) {
            after(500, [this] { writeRetirement(); });
            return;
        }
        const OperationId operation("operator-" + std::to_string(m_now));
        store(m_tables.back()->withoutRetired(m_retired, m_ids, operation).value());
    }

    void planRequest(std::int64_t time)
    {
        at(time, [this] {
            const SlotSet slots((1U << testedSlots) - 1);
            const OrganisationId organisation("organisation-" + std::to_string(draw(1, 2)));
            const int clientOffset = chance(30) ? draw(1'000, 1'500) : draw(-1'500, 1'500);
            const WallTime clientClock(Milliseconds(epochMs + m_now + clientOffset));
            const auto key = IdempotencyKey::generate(organisation, slots, clientClock, m_random).value();
            m_requests.push_back({organisation, key, m_now + requestDeadlineMs});
            attempt(m_requests.size() - 1);
        });
    }

    void attempt(std::size_t index)
    {
        const Request &request = m_requests[index];
        const BackendServerId &owner = m_tables.back()->entry(request.key.slot(request.organisation)).owner;
        const auto named = static_cast<int>(std::find(m_ids.begin(), m_ids.end(), owner) - m_ids.begin());
        const int to = chance(80) ? named : draw(0, agentCount - 1);
        send([this, index, to] { runInAgent(to, std::nullopt, [this, index, to] { decide(index, to); }); });
        after(attemptTimeoutMs, [this, index] {
            if (!m_requests[index].outcome && m_now < m_requests[index].deadline) {
                attempt(index);
            }
        });
    }

    void decide(std::size_t index, int agentIndex)
    {
        Agent &agent = m_agents[agentIndex];
        const Request &request = m_requests[index];
        const std::string name = request.organisation.value() + "/" + request.key.toString();
        KeyHistory &history = m_history[name];
        const Decision decision = agent.registry->decide({request.organisation, request.key, 1}, wallOf(agent));
        ++m_reached["decision " + std::string(nameOf(decision.kind)) + " " + std::string(nameOf(decision.reason))];
        switch (decision.kind) {
        case DecisionKind::Execute:
            if (++history.executions > 1) {
                m_violations.insert("a key was executed twice");
            }
            agent.waiting[name].push_back(index);
            execute(index, agentIndex, name);
            return;
        case DecisionKind::Wait:
            agent.waiting[name].push_back(index);
            return;
        case DecisionKind::Replay:
            if (!history.answer || decision.answer != *history.answer) {
                m_violations.insert("a replay differed from the recorded answer");
            }
            break;
        case DecisionKind::NotRun:
            history.answeredNotRun = true;
            break;
        case DecisionKind::DigestMismatch:
            m_violations.insert("a retry was taken for another request");
            break;
        case DecisionKind::Rejected:
        case DecisionKind::Unknown:
            break;
        }
        respond(index, decision.kind);
    }

    void execute(std::size_t index, int agentIndex, const std::string &name)
    {
        const bool fails = m_now < m_engineFailsUntil && chance(50);
        const std::string answer = "answer " + std::to_string(m_sequence) + (chance(10) ? std::string(64, 'x') : "");
        after(draw(5, chance(10) ? 5'000 : 300),
              [this, index, agentIndex, name, fails, answer, run = m_agents[agentIndex].run] {
                  runInAgent(agentIndex, run, [this, index, agentIndex, name, fails, answer] {
                      Agent &agent = m_agents[agentIndex];
                      const Request &request = m_requests[index];
                      // An answer above the limit of 64 bytes is not kept, so its replay is empty.
                      m_history[name].answer = answer.size() > m_limits.maximumBytesPerAnswer ? "" : answer;
                      const auto finished = fails ? agent.registry->completeUnknown(request.organisation, request.key)
                                                  : agent.registry->complete(request.organisation, request.key, answer);
                      if (finished.has_error()) {
                          m_violations.insert(finished.error().message());
                      }
                      for (const std::size_t waiting : std::exchange(agent.waiting[name], {})) {
                          respond(waiting, fails ? DecisionKind::Unknown : DecisionKind::Replay);
                      }
                  });
              });
    }

    void respond(std::size_t index, DecisionKind kind)
    {
        send([this, index, kind] {
            Request &request = m_requests[index];
            if (kind == DecisionKind::Rejected) {
                request.sawRejection = true;
                return;
            }
            if (!request.outcome) {
                request.outcome = kind;
            }
            // Some clients repeat a request that has already ended.
            if (request.mayRepeat && chance(40)) {
                after(draw(1, 50'000), [this, index] { attempt(index); });
            }
            request.mayRepeat = false;
        });
    }

    void checkSingleOwner()
    {
        for (std::size_t slot = 0; slot < testedSlots; ++slot) {
            int serving = 0;
            for (Agent &agent : m_agents) {
                if (agent.registry) {
                    const SlotPhase phase = agent.registry->phase(static_cast<SlotNumber>(slot));
                    const SlotPhase before = std::exchange(agent.phases[slot], phase);
                    serving += phase == SlotPhase::Serving ? 1 : 0;
                    if (before != phase) {
                        ++m_reached["phase " + std::string(nameOf(before)) + " to " + std::string(nameOf(phase))];
                    }
                }
            }
            if (serving > 1) {
                m_violations.insert("a slot was served by two owners");
            }
        }
    }

    void count(const Request &request)
    {
        ++m_outcomes["requests"];
        if (request.outcome) {
            ++m_outcomes[std::string(nameOf(*request.outcome))];
        } else {
            ++m_outcomes[request.sawRejection ? "rejected" : "no answer"];
        }
    }

    SeededFault m_seeded;
    Random m_random;
    ExecutionLimits m_limits;
    std::int64_t m_now = 0;
    std::uint64_t m_sequence = 0;
    std::priority_queue<Event> m_events;
    std::array<Agent, agentCount> m_agents;
    std::vector<BackendServerId> m_ids;
    std::set<BackendServerId> m_retired;
    std::vector<std::shared_ptr<const SlotTable>> m_tables;
    std::int64_t m_platformDownUntil = 0;
    std::int64_t m_engineFailsUntil = 0;
    std::int64_t m_networkUnreliableUntil = 0;
    int m_responsesToLose = 0;
    std::deque<Request> m_requests;
    std::map<std::string, KeyHistory> m_history;
    std::set<std::string> m_violations;
    Counts m_reached;
    Counts m_outcomes;
};

} // namespace Cardamomhill
