#include "rebalance/groupview.h"

#include <algorithm>

namespace Cardamomhill
{

bool GroupView::isComplete() const
{
    return std::all_of(
        ranks.begin(), ranks.end(), [](const DiscoveredServer &rank) { return rank.groupMembership.has_value(); });
}

bool GroupView::isBroken() const
{
    return std::any_of(ranks.begin(), ranks.end(), [this](const DiscoveredServer &rank) {
        return rank.groupMembership && rank.groupMembership->epoch == epoch && !rank.groupMembership->isOpen;
    });
}

bool GroupView::hasSameRanks(const GroupView &other) const
{
    return std::equal(ranks.begin(),
                      ranks.end(),
                      other.ranks.begin(),
                      other.ranks.end(),
                      [](const DiscoveredServer &one, const DiscoveredServer &two) {
                          return one.id == two.id && one.address == two.address;
                      });
}

bool GroupView::hasRankIn(const FailureDomainId &domain) const
{
    return std::any_of(
        ranks.begin(), ranks.end(), [&domain](const DiscoveredServer &rank) { return rank.failureDomain == domain; });
}

} // namespace Cardamomhill
