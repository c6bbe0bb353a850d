#pragma once

#include "core/random.h"
#include "core/result.h"
#include "routing/backendtable.h"
#include "routing/routingdecision.h"
#include "routing/routingerror.h"

#include <cstddef>
#include <string_view>

namespace Cardamomhill
{

/// Parameters of Router.
struct RouterOptions {
    /// Length of the prompt prefix that determines the affine server (prefix affinity).
    std::size_t affinityPrefixBytes = 1024;
    /// The affine server is used while its score is at most affinityFactor * mean + affinitySlack. With a factor of
    /// 1.25 the 99th percentile of the wait was 3.1 s instead of 1.4 s at the target size, see docs/routing.md.
    double affinityFactor = 1.0;
    double affinitySlack = 1;
    /// Minimum time before the caller may retry when servers are at their limit or excluded.
    Milliseconds overloadRetryAfter{1000};
    /// Time before the caller may retry when no server is live; membership detects a new one within this time.
    Milliseconds noServerRetryAfter{3000};
};

/// What the choice of a backend server depends on.
struct RoutingRequest {
    ServiceId service;
    /// Start of the prompt; empty means no prefix affinity.
    std::string_view prompt;
    /// Servers used by earlier attempts of the request.
    std::vector<BackendServerId> tried;
    /// Set for a non-idempotent call to a plain service: only the owner of its idempotency key's slot may execute it.
    std::optional<BackendServerId> slotOwner;
};

/// Chooses backend servers: the affine one while its load is low enough, else the better of two random candidates.
/// Servers of other failure domains are used only when none of the local one is available.
class Router
{
public:
    /// @param table must outlive the router.
    Router(const BackendTable &table, FailureDomainId localDomain, RouterOptions options = {});

    Result<RoutingDecision, RoutingError> choose(const RoutingRequest &request, SteadyTime now, Random &random) const;

private:
    using Index = BackendTable::Index;
    using Pool = BackendTable::Pool;
    struct Query;
    struct CandidatePair;

    Result<RoutingDecision, RoutingError> chooseSlotOwner(const Query &query) const;
    std::optional<RoutingDecision> chooseRemote(const Query &query, const std::vector<Pool> &pools) const;
    std::optional<RoutingDecision>
    chooseFromPool(const Query &query, const Pool &pool, const std::vector<Index> &members) const;
    std::optional<RoutingDecision>
    chooseByAffinity(const Query &query, const Pool &pool, const std::vector<Index> &members) const;
    CandidatePair drawCandidates(const Query &query, const std::vector<Index> &members) const;
    bool isUsable(const Query &query, Index index) const;
    RoutingDecision decision(const Query &query, const Pool &pool, CandidatePair pair, RoutingReason reason) const;
    RoutingError error(const Query &query) const;

    const BackendTable &m_table;
    FailureDomainId m_localDomain;
    RouterOptions m_options;
};

} // namespace Cardamomhill
