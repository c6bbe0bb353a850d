// Measures the rank-steps lost in each switch of a group's expert map, and messages and bytes by number of ranks. A
// rank-step is one step's time of one rank. All times are simulated, so the results do not depend on the machine.

#include "../tests/support/groupsimulation.h"

#include <cstdio>

namespace Cardamomhill
{

namespace
{

constexpr Microseconds stepTime = Milliseconds(33);
constexpr Microseconds orderDelay{200};
constexpr Microseconds jitter{200};
constexpr Microseconds downtime = Milliseconds(500);
constexpr int switches = 100;
constexpr int lossPercent = 5;

enum class Failure { None, Loss, CoordinatorInPrepare, CoordinatorInResolve, AgentRestart, AgentPause, RankStall };

struct Case {
    Failure failure;
    const char *name;
};

constexpr std::array cases{
    Case{Failure::None, "none"},
    Case{Failure::Loss, "5% of messages lost"},
    Case{Failure::CoordinatorInPrepare, "coordinator crashes in prepare"},
    Case{Failure::CoordinatorInResolve, "coordinator crashes in resolve"},
    Case{Failure::AgentRestart, "agent crashes before resolve, back in 500 ms"},
    Case{Failure::AgentPause, "agent pauses 500 ms before resolve"},
    Case{Failure::RankStall, "rank stalls 200 ms before resolve"},
};

struct Outcome {
    double lostRankSteps = 0;
    double messages = 0;
    double bytes = 0;
    int committed = 0;
};

bool triggersFailure(const GroupMessage &message, Failure failure)
{
    return failure >= Failure::AgentRestart && std::holds_alternative<ResolveRequest>(message.body);
}

/// Adds one simulated switch with the real participants and coordinators.
void addSwitch(Outcome &outcome, Failure failure, std::uint32_t ranks, Microseconds oneWayDelay, std::uint64_t seed)
{
    GroupSimulationOptions options;
    options.rankCount = ranks;
    options.seed = seed;
    options.oneWayDelay = oneWayDelay;
    options.orderDelay = orderDelay;
    options.jitter = jitter;
    options.stepTime = stepTime;
    options.lossPercent = failure == Failure::Loss ? lossPercent : 0;
    GroupSimulation simulation(options);
    // The switch starts at a varying point of a step.
    simulation.runFor(Milliseconds(500) + Microseconds(static_cast<std::int64_t>(seed * 7919 % 33000)));
    const int perPhase = static_cast<int>(ranks);
    if (failure == Failure::CoordinatorInPrepare || failure == Failure::CoordinatorInResolve) {
        const int phases = failure == Failure::CoordinatorInPrepare ? 2 : 3;
        simulation.schedule(
            {static_cast<int>(GroupFaultKind::CrashCoordinator), 0, 0, phases * perPhase + perPhase / 2});
        simulation.runFor(Microseconds(0));
    }
    bool isDone = false;
    simulation.onSend = [&](const GroupMessage &message) {
        if (isDone || !triggersFailure(message, failure)) {
            return;
        }
        isDone = true;
        const auto kind = failure == Failure::AgentRestart ? GroupFaultKind::RestartAgent
            : failure == Failure::AgentPause               ? GroupFaultKind::PauseAgent
                                                           : GroupFaultKind::StallRank;
        const int amount = failure == Failure::RankStall ? 200 : 500;
        simulation.schedule({static_cast<int>(kind), 0, perPhase - 1, amount});
    };
    simulation.waited = Microseconds(0);
    simulation.messages = 0;
    simulation.bytes = 0;
    simulation.propose(0, {2, 2});
    simulation.runFor(Seconds(4));
    outcome.lostRankSteps += static_cast<double>(simulation.waited.count()) / stepTime.count() / switches;
    outcome.messages += static_cast<double>(simulation.messages) / switches;
    outcome.bytes += static_cast<double>(simulation.bytes) / switches;
    outcome.committed += simulation.allRanksHave({2, 2}) ? 1 : 0;
    if (!simulation.violation.empty()) {
        std::printf("VIOLATION: %s\n", simulation.violation.c_str());
    }
}

/// The baseline: all ranks stop at a step boundary and report; all are told to switch and report; all are told to
/// continue. The failure occurs while the group is stopped. Delays, retries and takeover delay are as above.
double baselineLostRankSteps(Failure failure, std::uint32_t ranks, Microseconds oneWayDelay, Random &random)
{
    const auto draw = [&random](std::int64_t limit) {
        return static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(limit));
    };
    const auto slowestLegTime = [&] {
        std::int64_t slowest = 0;
        for (std::uint32_t rank = 0; rank < ranks; ++rank) {
            std::int64_t time = (oneWayDelay + orderDelay).count() + draw(jitter.count()) + draw(jitter.count());
            for (std::int64_t retry = 10000; failure == Failure::Loss && draw(100) < lossPercent; retry *= 2) {
                time += retry;
            }
            slowest = std::max(slowest, time);
        }
        return slowest;
    };
    std::int64_t stopped = slowestLegTime() + slowestLegTime() + slowestLegTime() + slowestLegTime();
    if (failure == Failure::CoordinatorInPrepare || failure == Failure::CoordinatorInResolve) {
        const ParticipantOptions options;
        stopped += options.initialTakeoverDelay.count() + draw(options.takeoverJitter.count()) + slowestLegTime()
            + slowestLegTime();
    } else if (failure == Failure::AgentRestart || failure == Failure::AgentPause) {
        stopped += downtime.count();
    }
    return static_cast<double>(ranks) * static_cast<double>(stopped) / stepTime.count();
}

void printLosses(Microseconds oneWayDelay)
{
    std::printf(
        "\none-way delay %.1f ms, step 33 ms, %d switches for each line; rank-steps lost for each switch (mean)\n",
        static_cast<double>(oneWayDelay.count()) / 1000,
        switches);
    std::printf("%-44s %5s %10s %14s %10s %10s\n", "failure", "ranks", "lost", "stopped group", "ratio", "committed");
    for (const Case &entry : cases) {
        for (const std::uint32_t ranks : {8U, 16U, 32U}) {
            Outcome outcome;
            Random random(1);
            double baseline = 0;
            for (int run = 1; run <= switches; ++run) {
                addSwitch(outcome, entry.failure, ranks, oneWayDelay, static_cast<std::uint64_t>(run));
                baseline += baselineLostRankSteps(entry.failure, ranks, oneWayDelay, random) / switches;
            }
            std::printf("%-44s %5u %10.2f %14.2f %10.3f %6d/%d\n",
                        entry.name,
                        ranks,
                        outcome.lostRankSteps,
                        baseline,
                        outcome.lostRankSteps / baseline,
                        outcome.committed,
                        switches);
        }
    }
}

void printMessages()
{
    std::printf("\nmessages and bytes for each switch without failures, one-way delay 0.5 ms\n");
    std::printf("%5s %10s %10s %16s %14s\n", "ranks", "messages", "bytes", "messages/rank", "bytes/rank");
    for (const std::uint32_t ranks : {8U, 16U, 32U}) {
        Outcome outcome;
        for (int run = 1; run <= switches; ++run) {
            addSwitch(outcome, Failure::None, ranks, Microseconds(500), static_cast<std::uint64_t>(run));
        }
        std::printf("%5u %10.1f %10.0f %16.2f %14.1f\n",
                    ranks,
                    outcome.messages,
                    outcome.bytes,
                    outcome.messages / ranks,
                    outcome.bytes / ranks);
    }
}

} // namespace

} // namespace Cardamomhill

int main()
{
    using namespace Cardamomhill;
    printLosses(Microseconds(500));
    printLosses(Microseconds(1500));
    printMessages();
    return 0;
}
