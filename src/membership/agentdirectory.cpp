#include "membership/agentdirectory.h"

namespace Cardamomhill::internal
{

namespace
{

// An agent reports to each of its entry hosts at least every 4.8 s and repeats unanswered reports. If it has moved to
// other entry hosts, their announcements of its load arrive every 30 s.
constexpr Seconds ReportTimeout(45);
// The agent's first entry host sends each change at once. If the copy still differs after this delay, the agent has
// received the change from neither of its entry hosts.
constexpr Milliseconds NotificationDelay(1000);

} // namespace

void AgentDirectory::recordReport(const ControlAddress &address, const AgentReport &report, SteadyTime now)
{
    auto &agent = m_agents[address];
    if (agent.digest != report.configuration.digest) {
        agent.lastUpdate = now;
    }
    agent.server = report.row.server;
    agent.preference = report.preference;
    agent.digest = report.configuration.digest;
    agent.lastReport = now;
}

std::vector<ControlAddress> AgentDirectory::agentsToUpdate(SteadyTime now)
{
    std::vector<ControlAddress> agents;
    for (auto &[address, agent] : m_agents) {
        agent.lastUpdate = now;
        if (agent.preference == 0) {
            agents.push_back(address);
        }
    }
    return agents;
}

std::vector<ControlAddress> AgentDirectory::agentsToNotify(std::uint64_t digest, SteadyTime now)
{
    std::vector<ControlAddress> agents;
    for (auto &[address, agent] : m_agents) {
        if (agent.digest != digest && now - agent.lastUpdate >= NotificationDelay) {
            agent.lastUpdate = now;
            agents.push_back(address);
        }
    }
    return agents;
}

std::vector<std::uint64_t> AgentDirectory::takeUnresponsive(SteadyTime now)
{
    std::vector<std::uint64_t> unresponsive;
    std::erase_if(m_agents, [&](const auto &entry) {
        if (now - entry.second.lastReport < ReportTimeout) {
            return false;
        }
        unresponsive.push_back(entry.second.server);
        return true;
    });
    return unresponsive;
}

void AgentDirectory::shiftTimes(Microseconds pause)
{
    for (auto &[address, agent] : m_agents) {
        agent.lastReport += pause;
        agent.lastUpdate += pause;
    }
}

std::size_t AgentDirectory::size() const
{
    return m_agents.size();
}

} // namespace Cardamomhill::internal
