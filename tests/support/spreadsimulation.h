#pragma once

#include "core/random.h"
#include "traffic/serverquery.h"
#include "traffic/servertable.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Cardamomhill
{

/// The size of a simulated fleet and the calls that arrive at it.
struct SpreadWorkload {
    std::size_t hosts = 1;
    std::size_t servers = 1;
    std::uint32_t slots = 1;
    double callsPerSecond = 1;
    double meanCallSeconds = 1;
    /// Time between two notices of a host, and between its updates of the loads of others.
    Milliseconds noticeInterval{200};
};

/// Counts of the calls that arrived after the warm-up.
struct SpreadResult {
    std::size_t calls = 0;
    std::size_t refused = 0;
    /// Calls that had to wait, since all slots of the chosen server were in use.
    std::size_t queued = 0;
};

/// Simulates entry hosts that distribute calls over the servers of one service. Each host has its own ServerTable and
/// learns of the calls of other hosts from periodic notices; a server runs as many calls at once as it has slots.
class SpreadSimulation
{
public:
    SpreadSimulation(const SpreadWorkload &workload, ServerTableOptions options, std::uint64_t seed)
        : m_workload(workload)
        , m_random(seed)
        , m_servers(workload.servers)
    {
        std::vector<DiscoveredServer> servers;
        for (std::size_t i = 0; i < workload.servers; ++i) {
            DiscoveredServer server;
            server.id = BackendServerId("s" + std::to_string(i));
            server.service = ServiceId("service");
            server.slots = workload.slots;
            server.groupMembership = GroupMembership{
                GroupId("g"), 1, static_cast<std::uint32_t>(i), static_cast<std::uint32_t>(workload.servers), true};
            m_indices[server.id.value()] = i;
            servers.push_back(server);
        }
        m_tables.assign(workload.hosts, ServerTable(options));
        m_sentLoads.resize(workload.hosts);
        for (std::size_t host = 0; host < workload.hosts; ++host) {
            m_tables[host].apply({servers, {}});
            const auto offset = m_random() % static_cast<std::uint64_t>(workload.noticeInterval.count());
            schedule(Milliseconds(offset), [this, host] { exchangeLoads(host); });
        }
        scheduleArrival();
    }

    SpreadResult run(Seconds warmUp, Seconds measuredTime)
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
    struct Call {
        std::size_t host;
        Microseconds duration;
    };

    struct Server {
        std::uint32_t running = 0;
        std::deque<Call> queue;
    };

    void schedule(Microseconds delay, std::function<void()> action)
    {
        m_events.emplace(m_now + delay, std::move(action));
    }

    static Microseconds microsecondsOf(double seconds)
    {
        return std::chrono::duration_cast<Microseconds>(std::chrono::duration<double>(seconds));
    }

    /// Sends the loads of a host to the others, and gives it those that they sent last.
    void exchangeLoads(std::size_t host)
    {
        m_sentLoads[host] = m_tables[host].ownLoads();
        ServerLoads peers;
        for (std::size_t other = 0; other < m_sentLoads.size(); ++other) {
            if (other == host) {
                continue;
            }
            for (const auto &[server, calls] : m_sentLoads[other]) {
                peers[server] += calls;
            }
        }
        m_tables[host].setPeerLoads(std::move(peers));
        schedule(m_workload.noticeInterval, [this, host] { exchangeLoads(host); });
    }

    void scheduleArrival()
    {
        std::exponential_distribution<double> gap(m_workload.callsPerSecond);
        schedule(microsecondsOf(gap(m_random)), [this] {
            startCall();
            scheduleArrival();
        });
    }

    void startCall()
    {
        const std::size_t host = m_random() % m_workload.hosts;
        const bool isMeasured = m_now >= m_measureFrom;
        m_result.calls += isMeasured ? 1 : 0;
        const auto choice = m_tables[host].choose({ServiceId("service"), {}, {}}, m_now, m_random);
        if (!choice.hasServer()) {
            m_result.refused += isMeasured ? 1 : 0;
            return;
        }
        m_tables[host].recordCallStarted(choice.server);
        std::exponential_distribution<double> duration(1 / m_workload.meanCallSeconds);
        const Call call{host, microsecondsOf(duration(m_random))};
        auto &server = m_servers[m_indices.at(choice.server.value())];
        if (server.running < m_workload.slots) {
            runCall(choice.server, call);
        } else {
            m_result.queued += isMeasured ? 1 : 0;
            server.queue.push_back(call);
        }
    }

    void runCall(const BackendServerId &id, const Call &call)
    {
        ++m_servers[m_indices.at(id.value())].running;
        schedule(call.duration, [this, id, host = call.host] {
            m_tables[host].recordCallEnded(id, AttemptEnd::Delivered, m_now);
            auto &server = m_servers[m_indices.at(id.value())];
            --server.running;
            if (!server.queue.empty()) {
                const auto next = server.queue.front();
                server.queue.pop_front();
                runCall(id, next);
            }
        });
    }

    SpreadWorkload m_workload;
    Random m_random;
    SteadyTime m_now{Seconds(1000)};
    SteadyTime m_measureFrom{};
    std::multimap<SteadyTime, std::function<void()>> m_events;
    std::vector<ServerTable> m_tables;
    /// The own calls that each host reported last.
    std::vector<ServerLoads> m_sentLoads;
    std::vector<Server> m_servers;
    std::map<std::string, std::size_t> m_indices;
    SpreadResult m_result;
};

} // namespace Cardamomhill
