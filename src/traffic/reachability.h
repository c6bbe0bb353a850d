#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"

#include <map>
#include <set>

namespace Cardamomhill
{

/// Constants of Reachability.
struct ReachabilityOptions {
    /// Entry hosts tell each other of their calls at least every half second.
    Milliseconds silenceLimit{1300};
    /// Connections that were not made, without one that was, from which on a failure domain counts as unreachable.
    std::uint32_t failedConnections = 3;
    /// Time after which a connection is tried again where only failed connections speak against it.
    Milliseconds trialInterval{1000};
};

/// Which failure domains this entry host can reach, from what it hears of entry hosts there and from its connections to
/// backend servers.
class Reachability
{
public:
    explicit Reachability(FailureDomainId ownDomain, ReachabilityOptions options = {});

    /// A notice of an entry host arrived.
    void heard(const FailureDomainId &domain, SteadyTime now);
    /// A connection to a backend server was made, or not in time.
    void connected(const FailureDomainId &domain, bool success, SteadyTime now);

    std::set<FailureDomainId> unreachable(SteadyTime now) const;

    /// Whether other failure domains have entry hosts and none of those domains can be reached: this side of a cut is
    /// the smaller one as far as can be seen from here.
    bool isIsolated(SteadyTime now) const;

private:
    struct Domain {
        SteadyTime heardAt{};
        bool hasBeenHeard = false;
        SteadyTime goodAt{};
        SteadyTime failedAt{};
        std::uint32_t failures = 0;
    };

    bool isSilent(const Domain &domain, SteadyTime now) const;

    FailureDomainId m_ownDomain;
    ReachabilityOptions m_options;
    std::map<FailureDomainId, Domain> m_domains;
};

} // namespace Cardamomhill
