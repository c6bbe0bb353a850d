#include "drain/drain.h"
#include "core/random.h"
#include "drain/signaltime.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>
#include <string>

namespace Cardamomhill
{

namespace
{

/// Faults injected into the simulated process around the drain classes.
struct DrainFaults {
    /// Counts before the traffic thread has stopped admission, but claims to count after that.
    bool countsTooEarly = false;
    /// Cancels the decision to leave when the host list shows the host as live again.
    bool followsHostList = false;
    /// Drops each notice on a connection after the first.
    bool sendsNoticeOnce = false;
};

/// Simulates an agent with its traffic thread and entry processes in ticks of 50 ms.
class AgentSimulation
{
public:
    AgentSimulation(DrainFaults faults, std::uint64_t connections)
        : m_faults(faults)
        , m_connections(connections)
    {
        for (AgentDrain::ConnectionId connection = 0; connection < connections; ++connection) {
            drain.onConnected(connection, now);
        }
    }

    /// Applies one event, then a tick. Returns the violated requirement, or nothing.
    std::string step(int event, std::uint64_t connection)
    {
        if (event == 0) {
            drain.onTerminate(now);
        } else if (event == 1) {
            drain.onRetired(now);
        } else if (event == 2) {
            drain.onHostList(MemberState::Leaving, now);
        } else if (event == 3) {
            drain.onHostList(std::nullopt, now);
        } else if (event == 4) {
            drain.onHostList(MemberState::Live, now);
            if (m_faults.followsHostList) {
                drain = AgentDrain();
            }
        } else if (event == 5 && m_notified.contains(connection)) {
            drain.onAcknowledged(connection);
            m_acknowledged.insert(connection);
        } else if (event == 6 && m_running > 0) {
            --m_running;
        } else if (event >= 7 && m_admits && !m_exited) {
            ++m_running;
        }
        return tick();
    }

    std::string tick()
    {
        now += Milliseconds(50);
        drain.onTick(now);
        if (drain.isLeaving() && !m_leftAt) {
            m_leftAt = now;
        }
        for (const auto connection : drain.takeNotices()) {
            ++m_notices[connection];
            m_notified.insert(connection);
        }
        const bool admitted = m_admits;
        // The traffic thread receives the decision two ticks late.
        m_admits = m_leftAt ? m_ticksUntilClosed-- > 0 : true;
        drain.onRunningCount(m_running, m_faults.countsTooEarly ? true : !admitted && !m_admits);
        m_exited = m_exited || drain.shouldExit();
        return violatedRequirement();
    }

    std::string violatedRequirement() const
    {
        if (m_leftAt && drain.acceptsNewWork()) {
            return "accepts new work after leaving";
        }
        if (m_exited && (m_running > 0 || m_admits)) {
            return "exits while a request runs or can be admitted";
        }
        for (AgentDrain::ConnectionId connection = 0; m_leftAt && connection < m_connections; ++connection) {
            const auto count = m_notices.contains(connection) ? m_notices.at(connection) : 0;
            const auto due = std::min<Microseconds>(now - *m_leftAt, AgentDrain::noticeTimeout) / Milliseconds(250);
            if (!m_acknowledged.contains(connection) && (m_faults.sendsNoticeOnce ? std::min(count, 1) : count) < due) {
                return "a notice was not repeated";
            }
        }
        return {};
    }

    /// Completes all requests and runs until the agent must have exited.
    std::string finish()
    {
        m_running = 0;
        std::string violation;
        for (int ticks = 0; ticks < 70 && violation.empty(); ++ticks) {
            violation = tick();
        }
        if (violation.empty() && m_leftAt && !m_exited) {
            return "does not exit although nothing runs";
        }
        return violation.empty() && !m_leftAt && m_exited ? "exits without leaving" : violation;
    }

    AgentDrain drain;
    SteadyTime now{Seconds(1)};

private:
    DrainFaults m_faults;
    std::uint64_t m_connections;
    std::optional<SteadyTime> m_leftAt;
    int m_ticksUntilClosed = 2;
    bool m_admits = true;
    bool m_exited = false;
    std::uint64_t m_running = 0;
    std::map<AgentDrain::ConnectionId, int> m_notices;
    std::set<AgentDrain::ConnectionId> m_notified;
    std::set<AgentDrain::ConnectionId> m_acknowledged;
};

std::string runAgent(DrainFaults faults, const std::vector<std::pair<int, int>> &events)
{
    // Without entry processes nothing delays the exit.
    AgentSimulation simulation(faults, events.size() % 4);
    for (const auto &[event, connection] : events) {
        std::string violation = simulation.step(event, static_cast<std::uint64_t>(connection));
        if (!violation.empty()) {
            return violation;
        }
    }
    return simulation.finish();
}

auto anyEvents()
{
    return rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 10), rc::gen::inRange(0, 3)));
}

bool findsViolation(DrainFaults faults)
{
    Random random(1);
    for (std::size_t run = 0; run < 200; ++run) {
        std::vector<std::pair<int, int>> events(60 + run % 4);
        for (auto &event : events) {
            event = {static_cast<int>(random() % 10), static_cast<int>(random() % 3)};
        }
        if (!runAgent(faults, events).empty()) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_CASE("the agent checker finds early counts, a cancelled decision and notices that are not repeated")
{
    CHECK(findsViolation({.countsTooEarly = true}));
    CHECK(findsViolation({.followsHostList = true}));
    CHECK(findsViolation({.sendsNoticeOnce = true}));
}

TEST_CASE("a leaving agent accepts no new work, notifies all entry processes and interrupts no request")
{
    CHECK(rc::check("signals in any order and number, outdated or missing host lists",
                    [] { RC_ASSERT(runAgent({}, *anyEvents()) == std::string()); }));
}

TEST_CASE("a host list from before a restart does not make the new incarnation leave at once")
{
    LeaveDecision decision;
    SteadyTime now{Seconds(1)};
    decision.onHostList(MemberState::Leaving, now);
    CHECK_FALSE(decision.isLeaving());
    decision.onHostList(MemberState::Leaving, now + LeaveDecision::staleListTimeout);
    CHECK(decision.reason() == LeaveReason::HostLeaving);
    LeaveDecision other;
    other.onHostList(MemberState::Live, now);
    other.onHostList(std::nullopt, now);
    CHECK_FALSE(other.isLeaving());
    other.onHostList(MemberState::Leaving, now);
    other.leave(LeaveReason::Terminated, now + Seconds(1));
    CHECK(other.reason() == LeaveReason::HostLeaving);
    CHECK(other.since() == now);
}

TEST_CASE("an entry process first becomes unready, then closes its listeners, and exits after its last stream")
{
    constexpr Microseconds grace = Seconds(2);
    // Returns the violated requirement. Streams start while connections are accepted, even when the process is unready.
    const auto run = [grace](bool countsTooEarly, const std::vector<int> &events) -> std::string {
        EntryDrain drain(grace);
        SteadyTime now{Seconds(1)};
        std::optional<SteadyTime> leftAt;
        std::uint64_t streams = 0;
        bool listens = true;
        for (std::size_t index = 0; index < events.size() + 60; ++index) {
            const int event = index < events.size() ? events[index] : 5;
            if (event == 0) {
                drain.onTerminate(now);
            } else if (event == 1) {
                drain.onRetired(now);
            } else if (event == 2) {
                drain.onHostList(index % 2 == 0 ? MemberState::Live : MemberState::Leaving, now);
            } else if (event <= 4 && listens) {
                ++streams;
            } else if (event == 5 && streams > 0) {
                --streams;
            }
            now += Milliseconds(100);
            drain.onTick(now);
            leftAt = leftAt || !drain.isLeaving() ? leftAt : std::optional(now - Milliseconds(100));
            const bool closedBefore = !listens;
            listens = listens && drain.acceptsConnections();
            drain.onStreamCount(countsTooEarly && !closedBefore ? 0 : streams, true);
            if (leftAt && drain.isReady()) {
                return "ready although leaving";
            }
            if (drain.acceptsConnections() != (!leftAt || now - *leftAt < grace)) {
                return "does not close exactly after the grace period";
            }
            if (drain.shouldExit() && (streams > 0 || listens)) {
                return "exits with a stream open";
            }
        }
        return leftAt && streams == 0 && now - *leftAt > grace && !drain.shouldExit() ? "does not exit" : "";
    };
    CHECK_FALSE(run(true, {2, 2, 3, 4, 3, 4, 3, 4, 3, 4, 3, 4, 3, 4, 0, 3, 4, 3, 4, 3, 4, 3,
                           4, 3, 4, 3, 4, 3, 4, 3, 4, 3, 4, 3, 4, 3, 4, 3, 4, 3, 4, 3, 4})
                    .empty());
    CHECK(rc::check("any order of signals and streams", [&run] {
        const auto events = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
        RC_ASSERT(run(false, events) == std::string());
    }));
}

TEST_CASE("a process that leaves admits no call that would run when it is killed")
{
    constexpr auto Refused = AdmissionVerdict::Refused;
    const Microseconds grace = Seconds(3);
    const Microseconds killed = Seconds(8);
    const Microseconds unlimited = Seconds(60);
    EntryDrain drain(grace, killed);
    const SteadyTime start{Seconds(100)};
    CHECK(drain.admission(start, unlimited, unlimited) == AdmissionVerdict::NotStopping);
    drain.onTerminate(start);
    SUBCASE("a call that must end before the process does is admitted at any time")
    {
        CHECK(drain.admission(start + Seconds(6), Milliseconds(1600), unlimited) == AdmissionVerdict::EndsInTime);
        CHECK(drain.admission(start + Seconds(6), Milliseconds(1601), Milliseconds(10)) == Refused);
    }
    SUBCASE("in the grace period, a longer one is admitted if calls like it are expected to end in time")
    {
        constexpr auto Admitted = AdmissionVerdict::UsuallyEndsInTime;
        CHECK(drain.admission(start + Seconds(2), unlimited, Milliseconds(5600)) == Admitted);
        CHECK(drain.admission(start + Seconds(2), unlimited, Milliseconds(5601)) == Refused);
        CHECK(drain.admission(start + Milliseconds(2899), unlimited, Milliseconds(1)) == Admitted);
        CHECK(drain.admission(start + Milliseconds(2900), unlimited, Milliseconds(1)) == Refused);
    }
    SUBCASE("a longer one is refused if it is not known how long calls like it take")
    {
        CHECK(drain.admission(start + Milliseconds(1), unlimited, std::nullopt) == Refused);
        CHECK(drain.admission(start + Milliseconds(1), Seconds(7), std::nullopt) == AdmissionVerdict::EndsInTime);
    }
    SUBCASE("without a time of the kill, every call is admitted")
    {
        EntryDrain endless(grace);
        endless.onTerminate(start);
        CHECK(endless.admission(start + Seconds(50), unlimited, unlimited) == AdmissionVerdict::NotStopping);
    }
}

TEST_CASE("a process that handles SIGTERM late admits and ends calls by when the signal can have been sent")
{
    constexpr auto Refused = AdmissionVerdict::Refused;
    const Microseconds unlimited = Seconds(60);
    const SteadyTime handled{Seconds(100)};
    EntryDrain drain(Seconds(3), Seconds(8));
    drain.onTerminate(handled, Milliseconds(300));
    // A repeated signal is handled in time, which says nothing about the first one.
    drain.onTerminate(handled + Milliseconds(1));
    CHECK(drain.admission(handled + Milliseconds(2599), unlimited, Milliseconds(1))
          == AdmissionVerdict::UsuallyEndsInTime);
    CHECK(drain.admission(handled + Milliseconds(2600), unlimited, Milliseconds(1)) == Refused);
    CHECK(drain.admission(handled + Seconds(5), Milliseconds(2300), {}) == AdmissionVerdict::EndsInTime);
    CHECK(drain.admission(handled + Seconds(5), Milliseconds(2301), {}) == Refused);
    // Callers connect until the grace period after the signal is over, which is no later than this.
    drain.onTick(handled + Milliseconds(2999));
    CHECK(drain.acceptsConnections());
    drain.onTick(handled + Milliseconds(7299));
    CHECK_FALSE(drain.mustEndCalls());
    drain.onTick(handled + Milliseconds(7300));
    CHECK(drain.mustEndCalls());
    CHECK_FALSE(drain.shouldExit());
    drain.onTick(handled + Milliseconds(7500));
    CHECK(drain.shouldExit());
}

TEST_CASE("calls are ended before the kill for any delay of the signal that leaves time, and never before the last "
          "sixth of the grace")
{
    CHECK(rc::check("any grace and delay", [] {
        const Microseconds grace = Milliseconds(*rc::gen::inRange(100, 60'000));
        const Microseconds delay = Milliseconds(*rc::gen::inRange(0, 3000));
        TerminationDeadline deadline(grace);
        deadline.setSignalDelay(delay);
        const auto lastSixth = grace - grace / 6;
        RC_ASSERT(!deadline.mustEnd(lastSixth - Microseconds(1)));
        RC_ASSERT(deadline.mustEnd(std::max(lastSixth, grace - delay - TerminationDeadline::maxMargin)
                                   + TerminationDeadline::maxMargin));
        if (grace >= Seconds(8) && delay <= Milliseconds(900)) {
            RC_ASSERT(deadline.mustEnd(grace - delay - Milliseconds(360)));
        }
        const auto timeLeft = deadline.timeLeft(Microseconds(0));
        RC_ASSERT(!deadline.mustEnd(*timeLeft - Microseconds(1)));
    }));
}

TEST_CASE("a signal is not taken to be sent later than it was, whichever of tick and signal is handled first")
{
    CHECK(rc::check("a thread that does not run for a while", [] {
        const Microseconds period = Milliseconds(50);
        SteadyTime now{Seconds(1)};
        SignalTime time(now);
        const auto ticks = *rc::gen::inRange(1, 10);
        for (int tick = 0; tick < ticks; ++tick) {
            now += period;
            time.onTick(now);
        }
        const auto pause = Microseconds(*rc::gen::inRange(1, 1'000'000));
        const auto sent = now + Microseconds(*rc::gen::inRange<std::int64_t>(0, pause.count()));
        now += pause;
        if (*rc::gen::arbitrary<bool>()) {
            time.onTick(now);
        }
        RC_ASSERT(time.notSentBefore() <= sent);
        RC_ASSERT(now - time.notSentBefore() <= pause + period);
    }));
}

} // namespace Cardamomhill
