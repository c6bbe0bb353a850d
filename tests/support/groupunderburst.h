#pragma once

#include "traffic/admissionpacer.h"
#include "traffic/callqueue.h"
#include "traffic/concurrencylimit.h"
#include "traffic/groupadmission.h"
#include <algorithm>
#include <array>
#include <deque>
#include <random>
#include <vector>

namespace Cardamomhill
{

namespace Burst
{

constexpr std::size_t Hosts = 20;
constexpr double Engines = 36;
constexpr double Slots = 10;
constexpr int StepsPerAnswer = 23;
constexpr Milliseconds PauseObjective{120};
constexpr Milliseconds Tick{10};
constexpr Milliseconds NoticeDelay{300};
constexpr SteadyTime Start{Seconds(100)};
constexpr StepTimeModel Model{6, 0.4, 6};

struct Kind {
    std::uint32_t rank = 0;
    double callsPerSecond = 0;
    Milliseconds latencyObjective{0};
    Milliseconds callerTimeout{0};
};
/// The last kind comes in a burst.
constexpr std::array<Kind, 3> Kinds{{{0, 46, Milliseconds(400), Milliseconds(1600)},
                                     {1, 20, Milliseconds(400), Milliseconds(1600)},
                                     {2, 60, Milliseconds(1000), Milliseconds(3200)}}};
constexpr double BurstFactor = 2.4;

} // namespace Burst

struct BurstOutcome {
    double calls = 0;
    double inTime = 0;
    double served = 0;
};

/// A lock-step group of engines and the hosts that send calls to it. A burst of the least urgent calls lasts from
/// second 4 to 10 of 24; every 3.6 s the popular experts change, and steps are slow for 0.8 s.
class GroupUnderBurst
{
public:
    explicit GroupUnderBurst(bool limits)
        : m_limits(limits)
    {
    }

    std::array<BurstOutcome, Burst::Kinds.size()> run()
    {
        for (m_now = Burst::Start; m_now < Burst::Start + Seconds(24); m_now += Burst::Tick) {
            arrive();
            step();
            for (std::size_t host = 0; host < Burst::Hosts; ++host) {
                m_limits ? admit(host) : sendAll(host);
            }
            m_inFlight.push_back(m_running.size() + m_queued.size());
        }
        return m_outcomes;
    }

private:
    struct Call {
        std::size_t kind = 0;
        SteadyTime arrivedAt{};
        CallQueue::Ticket ticket = 0;
        int events = 0;
        bool isLate = false;
    };
    struct Host {
        std::vector<Call> waiting;
        CallQueue queue;
        AdmissionPacer pacer;
    };

    void arrive()
    {
        const auto time = m_now - Burst::Start;
        for (std::size_t kind = 0; kind < Burst::Kinds.size(); ++kind) {
            const bool isBurst = kind + 1 == Burst::Kinds.size() && time >= Seconds(4) && time < Seconds(10);
            const double rate = Burst::Kinds[kind].callsPerSecond * (isBurst ? Burst::BurstFactor : 1);
            std::poisson_distribution<int> arrivals(rate * std::chrono::duration<double>(Burst::Tick).count());
            for (int i = arrivals(m_random); i > 0; --i) {
                auto &host = m_hosts[m_random() % Burst::Hosts];
                const auto &k = Burst::Kinds[kind];
                const WaitingCall call{{0, k.rank, 0},
                                       m_now + k.latencyObjective - 2 * m_stepTime,
                                       m_now + k.callerTimeout - 2 * m_stepTime,
                                       false,
                                       0};
                host.waiting.push_back({kind, m_now, host.queue.add(call), 0, false});
                ++m_outcomes[kind].calls;
            }
        }
    }

    /// Room in the group for a call of this rank, as a host knows it: the calls of the others are known late.
    double room(std::uint32_t rank)
    {
        const auto delay = static_cast<std::size_t>(Burst::NoticeDelay / Burst::Tick);
        const double known = m_inFlight.size() < delay ? 0 : static_cast<double>(m_inFlight[m_inFlight.size() - delay]);
        const double limit = m_concurrency.streamsPerEngine(Burst::Model, Burst::PauseObjective, Burst::Slots, m_now);
        return GroupAdmission{{0, rank, 0}, false, Burst::Model}.streamsPerEngine(limit, Burst::Slots) * Burst::Engines
            - known;
    }

    void admit(std::size_t hostIndex)
    {
        auto &host = m_hosts[hostIndex];
        std::erase_if(host.waiting, [&](const Call &call) {
            const auto &kind = Burst::Kinds[call.kind];
            const double free = host.queue.isNext(call.ticket, m_now) ? room(kind.rank) : 0;
            const bool isSent = free > 0
                && (kind.rank == 0
                    || host.pacer.tryAdmit(free, static_cast<std::size_t>(Burst::Engines), Burst::Hosts, m_now));
            const bool isRefused = m_now >= call.arrivedAt + kind.latencyObjective - 2 * m_stepTime
                || !host.queue.canBeServed(call.ticket, m_now);
            if (isSent) {
                host.queue.recordSent(m_now);
                m_queued.push_back(call);
            }
            if (isSent || isRefused) {
                host.queue.remove(call.ticket);
            }
            return isSent || isRefused;
        });
    }

    /// As without urgency: calls go to the engines until their queues have 0.6 calls a slot.
    void sendAll(std::size_t hostIndex)
    {
        auto &host = m_hosts[hostIndex];
        for (const auto &call : host.waiting) {
            if (static_cast<double>(m_running.size() + m_queued.size()) < 1.6 * Burst::Slots * Burst::Engines) {
                m_queued.push_back(call);
            }
            host.queue.remove(call.ticket);
        }
        host.waiting.clear();
    }

    void step()
    {
        if (m_now < m_stepEndsAt) {
            return;
        }
        const double streams = static_cast<double>(m_running.size()) / Burst::Engines;
        if (m_stepTime > Microseconds(0)) {
            m_concurrency.recordStep(m_stepTime, streams, m_now);
        }
        std::erase_if(m_running, [&](Call &call) {
            const auto &kind = Burst::Kinds[call.kind];
            call.isLate = call.isLate || m_stepTime > Burst::PauseObjective
                || (call.events == 0 && m_now - call.arrivedAt > kind.latencyObjective);
            const bool isOver = ++call.events >= Burst::StepsPerAnswer;
            m_outcomes[call.kind].served += isOver ? 1 : 0;
            m_outcomes[call.kind].inTime += isOver && !call.isLate ? 1 : 0;
            return isOver;
        });
        const auto started = m_running.size();
        while (!m_queued.empty() && static_cast<double>(m_running.size()) < Burst::Slots * Burst::Engines) {
            m_running.push_back(m_queued.front());
            m_queued.pop_front();
        }
        std::erase_if(m_queued,
                      [&](const Call &call) { return m_now - call.arrivedAt > Burst::Kinds[call.kind].callerTimeout; });
        const auto phase = std::chrono::duration_cast<Milliseconds>(m_now - Burst::Start) % Milliseconds(3600);
        const double skew = phase < Milliseconds(800) ? 2.2 : 1.0;
        const double prompts = static_cast<double>(m_running.size() - started) / Burst::Engines;
        const double milliseconds
            = 36 + skew * (4.5 * static_cast<double>(m_running.size()) / Burst::Engines + 20 * prompts);
        m_stepTime = Microseconds(static_cast<Microseconds::rep>(1000 * milliseconds));
        m_stepEndsAt = m_now + m_stepTime;
    }

    bool m_limits;
    SteadyTime m_now{};
    std::mt19937 m_random{20261206};
    std::array<Host, Burst::Hosts> m_hosts;
    ConcurrencyLimit m_concurrency;
    std::vector<std::size_t> m_inFlight;
    std::deque<Call> m_queued;
    std::vector<Call> m_running;
    Microseconds m_stepTime{0};
    SteadyTime m_stepEndsAt{};
    std::array<BurstOutcome, Burst::Kinds.size()> m_outcomes{};
};

} // namespace Cardamomhill
