#pragma once

#include "core/random.h"
#include "traffic/servermemory.h"
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

/// What the hosts of a simulated fleet know of the prompts that servers hold.
enum class PromptKnowledge {
    None,
    /// Those of their own calls.
    OwnCalls,
    /// Those of the calls of all hosts, at once.
    AllCalls,
};

/// The size of a simulated fleet and the calls that arrive at it.
struct SpreadWorkload {
    std::size_t hosts = 1;
    std::size_t servers = 1;
    std::uint32_t slots = 1;
    double callsPerSecond = 1;
    double meanCallSeconds = 1;
    /// Time between two notices of a host, and between its updates of the loads of others.
    Milliseconds noticeInterval{200};
    /// The prompt of the next call; none if not set.
    PromptReuse (*prompt)(Random &) = nullptr;
    PromptKnowledge knowledge = PromptKnowledge::OwnCalls;
};

/// Counts of the calls that arrived after the warm-up.
struct SpreadResult {
    std::size_t calls = 0;
    std::size_t refused = 0;
    /// Calls that had to wait, since all slots of the chosen server were in use.
    std::size_t queued = 0;
    /// Most calls that a server had at once, running and waiting.
    std::size_t mostCallsAtServer = 0;
    /// Calls whose servers were chosen for what they hold.
    std::size_t chosenForPrompt = 0;
    /// Tokens of prompts that the chosen servers held, and the sum of the times to the first event, by the real numbers
    /// of calls.
    std::uint64_t heldTokens = 0;
    double firstEventMs = 0;
};

/// Simulates entry hosts that distribute calls over the servers of one service. Each host has its own ServerTable and
/// learns of the calls of other hosts from periodic notices; a server runs as many calls at once as it has slots.
class SpreadSimulation
{
public:
    SpreadSimulation(const SpreadWorkload &workload, ServerTableOptions options, std::uint64_t seed)
        : m_workload(workload)
        , m_random(seed)
        , m_choiceRandom(~seed)
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
        /// By host, and at last the one of m_prompts.
        std::vector<PromptResidency::Ticket> tickets;
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
        ServerQuery query{ServiceId("service"), {}, {}};
        const auto reuse = m_workload.prompt == nullptr ? std::nullopt : std::optional(m_workload.prompt(m_random));
        query.promptReuse = m_workload.knowledge == PromptKnowledge::None ? std::nullopt : reuse;
        auto &random = m_workload.prompt == nullptr ? m_random : m_choiceRandom;
        const auto choice = m_tables[host].choose(query, m_now, random);
        if (!choice.hasServer()) {
            m_result.refused += isMeasured ? 1 : 0;
            return;
        }
        std::exponential_distribution<double> duration(1 / m_workload.meanCallSeconds);
        Call call{host, microsecondsOf(duration(m_random)), {}};
        auto &server = m_servers[m_indices.at(choice.server.value())];
        if (reuse) {
            startPrompt(choice, *reuse, call, isMeasured);
        }
        m_tables[host].recordCallStarted(choice.server);
        if (server.running < m_workload.slots) {
            runCall(choice.server, call);
        } else {
            m_result.queued += isMeasured ? 1 : 0;
            server.queue.push_back(call);
        }
        if (isMeasured) {
            m_result.mostCallsAtServer = std::max(m_result.mostCallsAtServer, server.running + server.queue.size());
        }
    }

    void startPrompt(const ServerChoice &choice, const PromptReuse &reuse, Call &call, bool isMeasured)
    {
        const auto &server = m_servers[m_indices.at(choice.server.value())];
        const auto calls = static_cast<double>(server.running + server.queue.size());
        const auto &estimate = reuse.estimate;
        const ServerMemory memory{estimate.capacityTokens, estimate.meanPromptTokens, estimate.meanAnswerTokens, calls};
        if (isMeasured) {
            const auto held = m_prompts.heldTokens(choice.server, reuse.prompt, memory);
            m_result.heldTokens += held;
            m_result.firstEventMs += estimate.milliseconds((calls + 1) / m_workload.slots, reuse.prompt.tokens, held);
            m_result.chosenForPrompt += choice.reason == ChoiceReason::HoldsPrompt ? 1 : 0;
        }
        for (std::size_t host = 0; host < m_tables.size(); ++host) {
            const bool learns = host == call.host || m_workload.knowledge == PromptKnowledge::AllCalls;
            call.tickets.push_back(learns ? m_tables[host].recordPromptStarted(choice.server, reuse, m_now) : 0);
        }
        call.tickets.push_back(m_prompts.recordStarted(choice.server, reuse.prompt, memory));
    }

    void endPrompt(const Call &call)
    {
        for (std::size_t host = 0; host < call.tickets.size(); ++host) {
            if (host < m_tables.size()) {
                m_tables[host].recordPromptEnded(call.tickets[host], AttemptEnd::Delivered);
            } else {
                m_prompts.recordEnded(call.tickets[host], true);
            }
        }
    }

    void runCall(const BackendServerId &id, const Call &call)
    {
        ++m_servers[m_indices.at(id.value())].running;
        schedule(call.duration, [this, id, call] {
            endPrompt(call);
            m_tables[call.host].recordCallEnded(id, AttemptEnd::Delivered, m_now);
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
    /// For the choices of calls with prompts, so that plays with different choices have the same calls.
    Random m_choiceRandom;
    SteadyTime m_now{Seconds(1000)};
    SteadyTime m_measureFrom{};
    std::multimap<SteadyTime, std::function<void()>> m_events;
    std::vector<ServerTable> m_tables;
    /// What the servers hold.
    PromptResidency m_prompts;
    /// The own calls that each host reported last.
    std::vector<ServerLoads> m_sentLoads;
    std::vector<Server> m_servers;
    std::map<std::string, std::size_t> m_indices;
    SpreadResult m_result;
};

} // namespace Cardamomhill
