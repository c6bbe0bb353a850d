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
    for (const auto &server : changes.present) {
        m_servers[server.id] = server;
    }
    for (const auto &id : changes.gone) {
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
        if (!server.seat || server.seat->rank >= server.seat->size || server.seat->size > MaxGroupRanks) {
            continue;
        }
        const auto &seat = *server.seat;
        auto &view = views[seat.group];
        if (view.ranks.empty()) {
            view = {seat.group, server.service, seat.epoch, true, {}};
        }
        view.ranks.resize(std::max<std::size_t>(view.ranks.size(), seat.size));
        auto &place = view.ranks[seat.rank];
        // A replaced rank and its successor may both be registered; the one of the newer epoch is running.
        if (place.seat && place.seat->epoch > seat.epoch) {
            continue;
        }
        place = server;
        view.epoch = std::max(view.epoch, seat.epoch);
    }
    std::vector<GroupView> groups;
    for (auto &[id, view] : views) {
        view.isOpen = std::all_of(view.ranks.begin(), view.ranks.end(), [&view = view](const DiscoveredServer &rank) {
            return rank.seat && rank.seat->isOpen && rank.seat->epoch == view.epoch;
        });
        groups.push_back(std::move(view));
    }
    return groups;
}

} // namespace Cardamomhill
