#pragma once

#include "core/random.h"
#include "traffic/serverprocess.h"
#include "traffic/serverquery.h"
#include "traffic/servertable.h"

#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <numbers>
#include <optional>
#include <string>
#include <vector>

namespace Cardamomhill
{

/// The demand for a plain service with one server in each of three failure domains.
struct UnevenDemand {
    double callsPerSecond = 680;
    /// Demand of each domain relative to the mean of all.
    std::array<double, 3> shares{1.0 + 1.0 / 3, 1.0, 1.0 - 1.0 / 3};
    /// Part of its demand by which that of a domain rises and falls, in waves that reach the domains one after the
    /// other.
    double wave = 0.55;
    Seconds wavePeriod{17};
    /// The time between two notices of a host; they take as long as a call takes to another domain.
    Milliseconds noticeInterval{300};
    Microseconds latency{1400};
    Microseconds localLatency{100};
    /// How long after the warm-up the server of the first domain stops answering; never if not set.
    std::optional<Seconds> stopsAfter = std::nullopt;
};

/// What callers got in the measured time.
struct UnevenResult {
    std::size_t calls = 0;
    std::size_t refused = 0;
    std::size_t onTime = 0;
    std::size_t inOtherDomain = 0;
    /// Calls that a server never answered.
    std::size_t lost = 0;
    double sumMs = 0;

    double onTimeShare() const
    {
        return static_cast<double>(onTime) / static_cast<double>(calls);
    }

    /// Of the calls that were answered.
    double meanMs() const
    {
        return sumMs / static_cast<double>(calls - refused - lost);
    }
};

/// Simulates hosts in three failure domains, each with its own ServerTable, that learn of each other's calls from
/// notices only.
class UnevenDemandSimulation
{
public:
    UnevenDemandSimulation(const UnevenDemand &demand, ServerTableOptions options, std::uint64_t seed)
        : m_demand(demand)
        , m_arrivals(seed)
        , m_choices(~seed)
        , m_tables(Hosts, ServerTable(options))
        , m_sentLoads(Hosts)
    {
        for (std::size_t domain = 0; domain < Domains; ++domain) {
            DiscoveredServer server;
            server.id = BackendServerId("s" + std::to_string(domain));
            server.service = ServiceId("service");
            server.failureDomain = FailureDomainId("d" + std::to_string(domain));
            server.slots = Slots;
            m_processes.push_back(processOf(server));
            for (std::size_t host = 0; host < Hosts; ++host) {
                m_tables[host].apply({{server}, {}});
                recordConnectTime(host, domain);
            }
        }
        for (std::size_t host = 0; host < Hosts; ++host) {
            // Hosts send their notices one after the other.
            schedule(m_demand.noticeInterval * host / Hosts, [this, host] { exchangeLoads(host); });
        }
        for (std::size_t domain = 0; domain < Domains; ++domain) {
            scheduleArrival(domain);
        }
    }

    UnevenResult run(Seconds warmUp, Seconds measuredTime)
    {
        m_measureFrom = m_now + warmUp;
        const auto end = m_measureFrom + measuredTime;
        while (m_now < end) {
            const auto next = m_events.begin();
            m_now = next->first;
            const auto action = std::move(next->second);
            m_events.erase(next);
            action();
        }
        return m_result;
    }

private:
    static constexpr std::size_t Hosts = 33;
    static constexpr std::size_t Domains = 3;
    static constexpr std::uint32_t Slots = 6;
    static constexpr double ServiceMs = 15;
    static constexpr double OnTimeMs = 120;
    /// Half of the deadline of 1,000 ms, after which a call counts as failed. It is not retried.
    static constexpr Milliseconds AttemptTimeout{500};

    struct Call {
        std::size_t host;
        std::size_t server;
        SteadyTime arrivedAt;
        double callsWhenSent;
        Microseconds duration;
    };

    struct Server {
        std::uint32_t running = 0;
        std::deque<Call> queue;
    };

    Microseconds latencyBetween(std::size_t domain, std::size_t other) const
    {
        return domain == other ? m_demand.localLatency : m_demand.latency;
    }

    void schedule(Microseconds delay, std::function<void()> action)
    {
        m_events.emplace(m_now + delay, std::move(action));
    }

    static Microseconds microsecondsOf(double seconds)
    {
        return std::chrono::duration_cast<Microseconds>(std::chrono::duration<double>(seconds));
    }

    void exchangeLoads(std::size_t host)
    {
        m_sentLoads[host] = m_tables[host].ownLoads();
        ServerLoads peers;
        for (std::size_t other = 0; other < Hosts; ++other) {
            for (const auto &[server, calls] : m_sentLoads[other]) {
                peers[server] += other == host ? 0 : calls;
            }
        }
        m_tables[host].setPeerLoads(std::move(peers));
        schedule(m_demand.noticeInterval, [this, host] { exchangeLoads(host); });
    }

    /// Draws arrivals at the highest rate and drops some, so that the rate follows the wave.
    void scheduleArrival(std::size_t domain)
    {
        const double mean = m_demand.callsPerSecond * m_demand.shares[domain] / Domains;
        std::exponential_distribution<double> gap(mean * (1 + m_demand.wave));
        schedule(microsecondsOf(gap(m_arrivals)), [this, domain] {
            const double turns = std::chrono::duration<double>(m_now.time_since_epoch()) / m_demand.wavePeriod
                - static_cast<double>(domain) / Domains;
            const double rate = 1 + m_demand.wave * std::sin(2 * std::numbers::pi * turns);
            const double drawn = std::uniform_real_distribution<double>(0, 1 + m_demand.wave)(m_arrivals);
            const std::size_t host = domain + Domains * (m_arrivals() % (Hosts / Domains));
            const double serviceMs = ServiceMs * std::uniform_real_distribution<double>(0.7, 1.3)(m_arrivals);
            if (drawn < rate) {
                startCall(host, microsecondsOf(serviceMs / 1000));
            }
            scheduleArrival(domain);
        });
    }

    void recordConnectTime(std::size_t host, std::size_t domain)
    {
        m_tables[host].recordConnectTime(
            FailureDomainId("d" + std::to_string(domain)), 2 * latencyBetween(host % Domains, domain), m_now);
    }

    void startCall(std::size_t host, Microseconds duration)
    {
        const bool isMeasured = m_now >= m_measureFrom;
        m_result.calls += isMeasured ? 1 : 0;
        auto &table = m_tables[host];
        const auto choice = table.choose({ServiceId("service"), {}, {}}, m_now, m_choices);
        if (!choice.hasServer()) {
            m_result.refused += isMeasured ? 1 : 0;
            return;
        }
        const std::size_t server = choice.server.value().back() - '0';
        m_result.inOtherDomain += isMeasured && server != host % Domains ? 1 : 0;
        recordConnectTime(host, server);
        table.recordCallStarted(choice.server);
        const Call call{host, server, m_now, table.callsAt(choice.server, m_now), duration};
        schedule(latencyBetween(host % Domains, server), [this, call] { arriveAtServer(call); });
    }

    void arriveAtServer(const Call &call)
    {
        auto &server = m_servers[call.server];
        if (call.server == 0 && hasStopped()) {
            loseCall(call);
        } else if (server.running < Slots) {
            runCall(call);
        } else {
            server.queue.push_back(call);
        }
    }

    bool hasStopped() const
    {
        return m_demand.stopsAfter && m_now >= m_measureFrom + *m_demand.stopsAfter;
    }

    void loseCall(const Call &call)
    {
        m_result.lost += call.arrivedAt >= m_measureFrom ? 1 : 0;
        schedule(AttemptTimeout, [this, call] {
            m_tables[call.host].recordCallEnded(m_processes[call.server].id, AttemptEnd::Broken, m_now);
        });
    }

    void runCall(const Call &call)
    {
        ++m_servers[call.server].running;
        schedule(call.duration, [this, call] {
            schedule(latencyBetween(call.host % Domains, call.server), [this, call] { endCall(call); });
            auto &server = m_servers[call.server];
            --server.running;
            if (!server.queue.empty()) {
                const auto next = server.queue.front();
                server.queue.pop_front();
                runCall(next);
            }
        });
    }

    void endCall(const Call &call)
    {
        const auto elapsed = std::chrono::duration_cast<Microseconds>(m_now - call.arrivedAt);
        auto &table = m_tables[call.host];
        table.recordAnswered(m_processes[call.server], elapsed, call.callsWhenSent, m_now);
        table.recordCallEnded(m_processes[call.server].id, AttemptEnd::Delivered, m_now);
        if (call.arrivedAt >= m_measureFrom) {
            const double elapsedMs = std::chrono::duration<double, std::milli>(elapsed).count();
            m_result.sumMs += elapsedMs;
            m_result.onTime += elapsedMs <= OnTimeMs ? 1 : 0;
        }
    }

    UnevenDemand m_demand;
    Random m_arrivals;
    /// For the choices, so that plays with different choices have the same calls.
    Random m_choices;
    SteadyTime m_now{Seconds(1000)};
    SteadyTime m_measureFrom{};
    std::multimap<SteadyTime, std::function<void()>> m_events;
    std::vector<ServerTable> m_tables;
    std::vector<ServerLoads> m_sentLoads;
    std::vector<ServerProcess> m_processes;
    std::array<Server, Domains> m_servers;
    UnevenResult m_result;
};

} // namespace Cardamomhill
