#pragma once

#include "rebalance/groupview.h"
#include "traffic/serverchanges.h"

#include <map>
#include <memory>
#include <vector>

namespace Cardamomhill
{

/// Puts registered backend servers together into their groups.
class GroupDirectory
{
public:
    void apply(const ServerChanges &changes);

    /// Every group with all its ranks, or with those that are known. Valid until the next change.
    const std::vector<GroupView> &groups() const;

    /// The same, for as long as it is kept.
    std::shared_ptr<const std::vector<GroupView>> snapshot() const;

private:
    std::vector<GroupView> putTogether() const;

    std::map<BackendServerId, DiscoveredServer> m_servers;
    std::shared_ptr<const std::vector<GroupView>> m_groups = std::make_shared<const std::vector<GroupView>>();
};

} // namespace Cardamomhill
