#include "membership/agentdirectory.h"

namespace Cardamomhill::internal
{

namespace
{

// Agents report at least every 4.8 s and repeat a report that was not answered. An agent may also have gone over to
// other entry hosts, whose announcements of its load come every 30 s.
constexpr Seconds SilenceTime(45);
// The other entry host sends first; a copy that still differs after this time was missed by both.
constexpr Milliseconds ReminderTime(1000);

} // namespace

void AgentDirectory::reported(const NodeAddress &address, const AgentReport &report, SteadyTime now)
{
    auto &agent = m_agents[address];
    if (agent.digest != report.configuration.digest) {
        agent.served = now;
    }
    agent.server = report.row.server;
    agent.rank = report.rank;
    agent.digest = report.configuration.digest;
    agent.reported = now;
}

std::vector<NodeAddress> AgentDirectory::agentsToServe(SteadyTime now)
{
    std::vector<NodeAddress> agents;
    for (auto &[address, agent] : m_agents) {
        agent.served = now;
        if (agent.rank == 0) {
            agents.push_back(address);
        }
    }
    return agents;
}

std::vector<NodeAddress> AgentDirectory::agentsToRemind(std::uint64_t digest, SteadyTime now)
{
    std::vector<NodeAddress> agents;
    for (auto &[address, agent] : m_agents) {
        if (agent.digest != digest && now - agent.served >= ReminderTime) {
            agent.served = now;
            agents.push_back(address);
        }
    }
    return agents;
}

std::vector<std::uint64_t> AgentDirectory::takeSilent(SteadyTime now)
{
    std::vector<std::uint64_t> silent;
    std::erase_if(m_agents, [&](const auto &entry) {
        if (now - entry.second.reported < SilenceTime) {
            return false;
        }
        silent.push_back(entry.second.server);
        return true;
    });
    return silent;
}

void AgentDirectory::shiftTimes(Microseconds pause)
{
    for (auto &[address, agent] : m_agents) {
        agent.reported += pause;
        agent.served += pause;
    }
}

std::size_t AgentDirectory::size() const
{
    return m_agents.size();
}

} // namespace Cardamomhill::internal
