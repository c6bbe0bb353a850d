#pragma once

#include "core/clocktypes.h"
#include "membership/controladdress.h"
#include "membership/membershipmessage.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace Cardamomhill::internal
{

/// The agents that report to this entry host.
class AgentDirectory
{
public:
    void recordReport(const ControlAddress &address, const AgentReport &report, SteadyTime now);

    /// The agents to which this host sends each change at once. Sets the update time of all agents.
    std::vector<ControlAddress> agentsToUpdate(SteadyTime now);

    /// The agents whose copy still differs from the digest some time after their last update. Sets their update time.
    std::vector<ControlAddress> agentsToNotify(std::uint64_t digest, SteadyTime now);

    /// Removes the agents that have stopped reporting and returns the hashes of their servers.
    std::vector<std::uint64_t> takeUnresponsive(SteadyTime now);

    /// Moves all times forward by a pause of this process.
    void shiftTimes(Microseconds pause);

    std::size_t size() const;

private:
    struct Agent {
        std::uint64_t server = 0;
        std::uint8_t preference = 0;
        std::uint64_t digest = 0;
        SteadyTime lastReport;
        /// When the agent reported a new digest, or was last sent a change or a notification.
        SteadyTime lastUpdate;
    };

    std::map<ControlAddress, Agent> m_agents;
};

} // namespace Cardamomhill::internal
