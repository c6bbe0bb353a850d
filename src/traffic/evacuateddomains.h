#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"

#include <map>
#include <optional>
#include <set>

namespace Cardamomhill
{

/// The failure domains that are evacuated, and when finished evacuations ended.
struct EvacuatedDomains {
    std::set<FailureDomainId> domains;
    /// When this host learned that the last evacuation of a domain had ended. Has no domain that is evacuated.
    std::map<FailureDomainId, SteadyTime> endedAt;

    bool operator==(const EvacuatedDomains &) const = default;

    bool contains(const FailureDomainId &domain) const
    {
        return domains.contains(domain);
    }

    /// Nothing if the domain is evacuated, or if no end of an evacuation of it is known.
    std::optional<SteadyTime> endOf(const FailureDomainId &domain) const
    {
        const auto found = endedAt.find(domain);
        return found == endedAt.end() ? std::nullopt : std::optional(found->second);
    }
};

} // namespace Cardamomhill
