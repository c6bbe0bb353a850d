#pragma once

#include <compare>
#include <cstdint>

namespace Cardamomhill
{

/// How urgent a call is among the calls to its service. The smallest is most urgent: the priority of its organisation
/// goes before that of its route.
struct Urgency {
    /// Number of distinct priorities of organisations that are more urgent.
    std::uint32_t organisationRank = 0;
    /// Number of distinct priorities of the service's routes that are more urgent.
    std::uint32_t routeRank = 0;
    /// Number of distinct priorities of organisations that are less urgent.
    std::uint32_t lessUrgentOrganisations = 0;

    auto operator<=>(const Urgency &) const = default;

    /// Rank by which the call leaves room to others: that of its route, or a more urgent one by as many ranks as its
    /// organisation is above the least urgent.
    std::uint32_t admissionRank() const
    {
        return routeRank > lessUrgentOrganisations ? routeRank - lessUrgentOrganisations : 0;
    }
};

} // namespace Cardamomhill
