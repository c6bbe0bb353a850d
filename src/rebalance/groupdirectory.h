#pragma once

#include "rebalance/groupview.h"
#include "traffic/serverchanges.h"

#include <map>
#include <vector>

namespace Cardamomhill
{

/// Puts registered backend servers together into their groups.
class GroupDirectory
{
public:
    void apply(const ServerChanges &changes);

    /// Every group with all its ranks, or with those that are known.
    std::vector<GroupView> groups() const;

private:
    std::map<BackendServerId, DiscoveredServer> m_servers;
};

} // namespace Cardamomhill
