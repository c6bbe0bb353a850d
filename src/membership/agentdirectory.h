#pragma once

#include "core/clocktypes.h"
#include "membership/membershipmessage.h"
#include "membership/nodeaddress.h"

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
    void reported(const NodeAddress &address, const AgentReport &report, SteadyTime now);

    /// The agents that get changes from this host at once. Counts as sent to.
    std::vector<NodeAddress> agentsToServe(SteadyTime now);

    /// The agents whose copy differs from the digest although there was time to correct it. Counts as reminded.
    std::vector<NodeAddress> agentsToRemind(std::uint64_t digest, SteadyTime now);

    /// Removes and returns the servers whose agents have been silent for too long.
    std::vector<std::uint64_t> takeSilent(SteadyTime now);

    void shiftTimes(Microseconds pause);

    std::size_t size() const;

private:
    struct Agent {
        std::uint64_t server = 0;
        std::uint8_t rank = 0;
        std::uint64_t digest = 0;
        SteadyTime reported;
        SteadyTime served;
    };

    std::map<NodeAddress, Agent> m_agents;
};

} // namespace Cardamomhill::internal
