#pragma once

#include "core/identifiers.h"
#include "placement/groupshape.h"
#include "traffic/discoveredserver.h"

#include <cstdint>
#include <vector>

namespace Cardamomhill
{

/// State of a group as registered in the store.
struct GroupView {
    GroupId id;
    ServiceId service;
    std::uint64_t epoch = 0;
    /// Whether all ranks are registered and report the group as open in this epoch.
    bool isOpen = false;
    /// Indexed by rank.
    std::vector<DiscoveredServer> ranks;

    /// Whether every rank is registered.
    bool isComplete() const;
    /// Whether a rank reports that the group does not run steps in the current epoch.
    bool isBroken() const;
    bool hasSameRanks(const GroupView &other) const;
    bool hasRankIn(const FailureDomainId &domain) const;
};

} // namespace Cardamomhill
