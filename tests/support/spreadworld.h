#pragma once

#include "core/random.h"
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

/// The load that SpreadWorld plays.
struct SpreadLoad {
    std::size_t hosts = 1;
    std::size_t servers = 1;
    std::uint32_t slots = 1;
    double callsPerSecond = 1;
    double meanCallSeconds = 1;
    /// Age of what hosts know of the calls of others, at most.
    Milliseconds noticeInterval{200};
};

/// What callers got.
struct SpreadResult {
    std::size_t calls = 0;
    std::size_t refused = 0;
    /// Calls that found all slots of their server in use.
    std::size_t waited = 0;
};

/// Entry hosts that spread calls over the servers of one service, in simulated time. Each host has its own ServerTable
/// and hears of the others' calls by notices; servers run as many calls at once as they have slots.
class SpreadWorld
{
public:
    SpreadWorld(const SpreadLoad &load, ServerTableOptions options, std::uint64_t seed)
        : m_load(load)
        , m_random(seed)
        , m_servers(load.servers)
    {
        std::vector<DiscoveredServer> servers;
        for (std::size_t i = 0; i < load.servers; ++i) {
            DiscoveredServer server;
            server.id = BackendServerId("s" + std::to_string(i));
            server.service = ServiceId("service");
            server.slots = load.slots;
            server.seat = GroupSeat{
                GroupId("g"), 1, static_cast<std::uint32_t>(i), static_cast<std::uint32_t>(load.servers), true};
            m_indices[server.id.value()] = i;
            servers.push_back(server);
        }
        m_tables.assign(load.hosts, ServerTable(options));
        m_told.resize(load.hosts);
        for (std::size_t host = 0; host < load.hosts; ++host) {
            m_tables[host].apply({servers, {}});
            const auto offset = m_random() % static_cast<std::uint64_t>(load.noticeInterval.count());
            at(Milliseconds(offset), [this, host] { notice(host); });
        }
        arrive();
    }

    SpreadResult run(Seconds warmUp, Seconds measured)
    {
        m_measuredFrom = m_now + warmUp;
        const auto end = m_measuredFrom + measured;
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
    struct Waiting {
        std::size_t host;
        Microseconds work;
    };

    struct Server {
        std::uint32_t running = 0;
        std::deque<Waiting> queue;
    };

    void at(Microseconds delay, std::function<void()> action)
    {
        m_events.emplace(m_now + delay, std::move(action));
    }

    static Microseconds microsecondsOf(double seconds)
    {
        return std::chrono::duration_cast<Microseconds>(std::chrono::duration<double>(seconds));
    }

    void notice(std::size_t host)
    {
        m_told[host] = m_tables[host].ownLoads();
        ServerLoads peers;
        for (std::size_t other = 0; other < m_told.size(); ++other) {
            if (other == host) {
                continue;
            }
            for (const auto &[server, calls] : m_told[other]) {
                peers[server] += calls;
            }
        }
        m_tables[host].setPeerLoads(std::move(peers));
        at(m_load.noticeInterval, [this, host] { notice(host); });
    }

    void arrive()
    {
        std::exponential_distribution<double> gap(m_load.callsPerSecond);
        at(microsecondsOf(gap(m_random)), [this] {
            call();
            arrive();
        });
    }

    void call()
    {
        const std::size_t host = m_random() % m_load.hosts;
        const bool isMeasured = m_now >= m_measuredFrom;
        m_result.calls += isMeasured ? 1 : 0;
        const auto choice = m_tables[host].choose(ServiceId("service"), {}, m_now, m_random);
        if (!choice.hasServer()) {
            m_result.refused += isMeasured ? 1 : 0;
            return;
        }
        m_tables[host].started(choice.server);
        std::exponential_distribution<double> work(1 / m_load.meanCallSeconds);
        const Waiting call{host, microsecondsOf(work(m_random))};
        auto &server = m_servers[m_indices.at(choice.server.value())];
        if (server.running < m_load.slots) {
            start(choice.server, call);
        } else {
            m_result.waited += isMeasured ? 1 : 0;
            server.queue.push_back(call);
        }
    }

    void start(const BackendServerId &id, const Waiting &call)
    {
        ++m_servers[m_indices.at(id.value())].running;
        at(call.work, [this, id, host = call.host] {
            m_tables[host].ended(id, AttemptEnd::Delivered, m_now);
            auto &server = m_servers[m_indices.at(id.value())];
            --server.running;
            if (!server.queue.empty()) {
                const auto next = server.queue.front();
                server.queue.pop_front();
                start(id, next);
            }
        });
    }

    SpreadLoad m_load;
    Random m_random;
    SteadyTime m_now{Seconds(1000)};
    SteadyTime m_measuredFrom{};
    std::multimap<SteadyTime, std::function<void()>> m_events;
    std::vector<ServerTable> m_tables;
    /// What each host said last of its own calls.
    std::vector<ServerLoads> m_told;
    std::vector<Server> m_servers;
    std::map<std::string, std::size_t> m_indices;
    SpreadResult m_result;
};

} // namespace Cardamomhill
