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

/// Constants of Router.
struct RouterOptions {
    /// Bytes of the prompt that decide its affinity.
    std::size_t affinityPrefixBytes = 1024;
    /// The affine server is used while its score is at most affinityFactor * mean + affinitySlack. With 1.25 the 99th
    /// percentile of the wait was 3.1 s instead of 1.4 s at the target size, see docs/routing.md.
    double affinityFactor = 1.0;
    double affinitySlack = 1;
    /// After a refusal because of load or exclusion: shortest time after which to come back.
    Milliseconds shortRetryAfter{1000};
    /// After a refusal for lack of a live server: time in which membership learns of a new one.
    Milliseconds longRetryAfter{3000};
};

/// What the choice of a backend server depends on.
struct RoutingRequest {
    ServiceId service;
    /// Start of the prompt; empty means no affinity.
    std::string_view prompt;
    /// Servers that earlier attempts of the request used.
    std::vector<BackendServerId> tried;
    /// Set for a non-idempotent call to a plain service: only the owner of its slot may execute it.
    std::optional<BackendServerId> slotOwner;
};

/// Chooses backend servers: the affine one while its load permits, else the better of two random candidates, in the
/// local failure domain as long as it can serve.
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
    struct Pair;

    Result<RoutingDecision, RoutingError> chooseSlotOwner(const Query &query) const;
    std::optional<RoutingDecision> chooseRemote(const Query &query, const std::vector<Pool> &pools) const;
    std::optional<RoutingDecision>
    chooseAmong(const Query &query, const Pool &pool, const std::vector<Index> &members) const;
    std::optional<RoutingDecision>
    chooseAffine(const Query &query, const Pool &pool, const std::vector<Index> &members) const;
    Pair twoCandidates(const Query &query, const std::vector<Index> &members) const;
    bool isUsable(const Query &query, Index index) const;
    RoutingDecision decision(const Query &query, const Pool &pool, Pair pair, RoutingReason reason) const;
    RoutingError error(const Query &query) const;

    const BackendTable &m_table;
    FailureDomainId m_localDomain;
    RouterOptions m_options;
};

} // namespace Cardamomhill
