#include "rebalance/groupdirectory.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

/// Registrations with a greater group size are ignored as erroneous.
constexpr std::uint32_t MaxGroupRanks = 1024;

} // namespace

void GroupDirectory::apply(const ServerChanges &changes)
{
    for (const auto &server : changes.updated) {
        m_servers[server.id] = server;
    }
    for (const auto &id : changes.removed) {
        m_servers.erase(id);
    }
    m_groups = std::make_shared<const std::vector<GroupView>>(buildGroups());
}

const std::vector<GroupView> &GroupDirectory::groups() const
{
    return *m_groups;
}

std::shared_ptr<const std::vector<GroupView>> GroupDirectory::snapshot() const
{
    return m_groups;
}

std::vector<GroupView> GroupDirectory::buildGroups() const
{
    std::map<GroupId, GroupView> views;
    for (const auto &[id, server] : m_servers) {
        if (!server.groupMembership || server.groupMembership->rank >= server.groupMembership->size
            || server.groupMembership->size > MaxGroupRanks) {
            continue;
        }
        const auto &groupMembership = *server.groupMembership;
        auto &view = views[groupMembership.group];
        if (view.ranks.empty()) {
            view = {groupMembership.group, server.service, groupMembership.epoch, true, {}};
        }
        view.ranks.resize(std::max<std::size_t>(view.ranks.size(), groupMembership.size));
        auto &place = view.ranks[groupMembership.rank];
        // A replaced rank and its successor may both be registered; the one of the newer epoch is running.
        if (place.groupMembership && place.groupMembership->epoch > groupMembership.epoch) {
            continue;
        }
        place = server;
        view.epoch = std::max(view.epoch, groupMembership.epoch);
    }
    std::vector<GroupView> groups;
    for (auto &[id, view] : views) {
        view.isOpen = std::all_of(view.ranks.begin(), view.ranks.end(), [&view = view](const DiscoveredServer &rank) {
            return rank.groupMembership && rank.groupMembership->isOpen && rank.groupMembership->epoch == view.epoch;
        });
        groups.push_back(std::move(view));
    }
    return groups;
}

} // namespace Cardamomhill
