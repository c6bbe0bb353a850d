#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"

#include <map>
#include <set>

namespace Cardamomhill
{

/// Constants of Reachability.
struct ReachabilityOptions {
    /// A failure domain is unresponsive after this time without notices from its entry hosts, which send at least one
    /// every half second, and without successful connections.
    Milliseconds noticeTimeout{1300};
    /// Number of consecutive failed connections that makes a failure domain unreachable.
    std::uint32_t failedConnectionLimit = 3;
    /// Time after the last failed connection after which connections to such a domain are tried again.
    Milliseconds retryInterval{1000};
};

/// Determines which failure domains this entry host can reach, from the notices that it receives from entry hosts there
/// and from the connections that it makes to backend servers there.
class Reachability
{
public:
    explicit Reachability(FailureDomainId ownDomain, ReachabilityOptions options = {});

    /// Records that a notice of an entry host arrived.
    void recordNotice(const FailureDomainId &domain, SteadyTime now);
    /// Records that connecting to a backend server succeeded, or failed or timed out.
    void recordConnectionAttempt(const FailureDomainId &domain, bool success, SteadyTime now);

    std::set<FailureDomainId> unreachable(SteadyTime now) const;

    /// Whether other failure domains have entry hosts and all of these domains are unreachable. This host is then
    /// probably on the smaller side of a network partition.
    bool isIsolated(SteadyTime now) const;

private:
    struct Domain {
        SteadyTime lastNoticeAt{};
        bool hasSentNotice = false;
        /// Of the last notice or successful connection.
        SteadyTime lastSuccessAt{};
        SteadyTime lastFailureAt{};
        std::uint32_t consecutiveFailures = 0;
    };

    bool isUnresponsive(const Domain &domain, SteadyTime now) const;

    FailureDomainId m_ownDomain;
    ReachabilityOptions m_options;
    std::map<FailureDomainId, Domain> m_domains;
};

} // namespace Cardamomhill
