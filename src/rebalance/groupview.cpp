#include "rebalance/groupview.h"

#include <algorithm>

namespace Cardamomhill
{

bool GroupView::hasRankIn(const FailureDomainId &domain) const
{
    return std::any_of(
        ranks.begin(), ranks.end(), [&domain](const DiscoveredServer &rank) { return rank.failureDomain == domain; });
}

} // namespace Cardamomhill
