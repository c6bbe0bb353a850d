#pragma once

#include "rebalance/groupview.h"
#include "traffic/serverchanges.h"

#include <map>
#include <memory>
#include <vector>

namespace Cardamomhill
{

/// Assembles groups from the registrations of backend servers.
class GroupDirectory
{
public:
    void apply(const ServerChanges &changes);

    /// All groups, including those with only some ranks registered. The reference is valid until the next apply().
    const std::vector<GroupView> &groups() const;

    /// The same groups, valid as long as the caller keeps the pointer.
    std::shared_ptr<const std::vector<GroupView>> snapshot() const;

private:
    std::vector<GroupView> buildGroups() const;

    std::map<BackendServerId, DiscoveredServer> m_servers;
    std::shared_ptr<const std::vector<GroupView>> m_groups = std::make_shared<const std::vector<GroupView>>();
};

} // namespace Cardamomhill
