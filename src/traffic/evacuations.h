#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "traffic/evacuateddomains.h"

#include <optional>
#include <set>

namespace Cardamomhill
{

/// Tracks which failure domains are evacuated according to the platform's store.
///
/// While the store cannot be reached, the last known set applies: neither has a missing store ended an evacuation, nor
/// does it begin one.
class Evacuations
{
public:
    /// Replaces the set by a complete list from the store. Evacuations that ended while the store could not be reached
    /// count as ended now.
    void replaceAll(const std::set<FailureDomainId> &domains, SteadyTime now);

    /// Records that the evacuation of a domain has begun. No change if it is known.
    void begin(const FailureDomainId &domain);

    /// Records that the evacuation of a domain has ended. Its begin need not be known: both may be reported as one
    /// change.
    void end(const FailureDomainId &domain, SteadyTime now);

    /// Records that the store no longer answers, or that it answers again. Neither changes the set.
    void onStoreUnavailable();
    void onStoreAvailable();

    /// Whether a complete list has been received since the start.
    bool isListed() const;

    /// Whether the set is listed and the store can be reached, so that later changes become known.
    bool isCurrent() const;

    const EvacuatedDomains &evacuated() const;

    /// Returns what is known if that has changed since the last call of this function, and once after the first list.
    std::optional<EvacuatedDomains> takeChange();

private:
    void discardOld(SteadyTime now);

    EvacuatedDomains m_evacuated;
    bool m_isListed = false;
    bool m_isStoreAvailable = true;
    bool m_hasChanged = false;
};

} // namespace Cardamomhill
