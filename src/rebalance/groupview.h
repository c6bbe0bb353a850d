#pragma once

#include "core/identifiers.h"
#include "placement/groupshape.h"
#include "traffic/discoveredserver.h"

#include <cstdint>
#include <vector>

namespace Cardamomhill
{

/// A group of ranks as the store shows it.
struct GroupView {
    GroupId id;
    ServiceId service;
    std::uint64_t epoch = 0;
    /// All ranks are registered, and all say that the group is open in this epoch.
    bool isOpen = false;
    /// By rank.
    std::vector<DiscoveredServer> ranks;

    /// Whether every rank is registered.
    bool isComplete() const;
    /// Whether a rank says of the present epoch that the group makes no steps.
    bool isBroken() const;
    bool hasSameRanks(const GroupView &other) const;
    bool hasRankIn(const FailureDomainId &domain) const;
};

} // namespace Cardamomhill
