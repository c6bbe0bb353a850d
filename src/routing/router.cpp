#include "routing/router.h"

#include "core/hash.h"

#include <algorithm>
#include <random>
#include <utility>

namespace Cardamomhill
{

namespace
{

/// Random draws before all servers are scanned. With half of the servers unusable, 1 in 256 decisions scans.
constexpr int MAX_RANDOM_DRAWS = 8;

/// Time until an excluded server can be used again, but at least `minimum`.
Milliseconds retryDelayUntil(SteadyTime time, SteadyTime now, Milliseconds minimum)
{
    return std::max(minimum, std::chrono::ceil<Milliseconds>(time - now));
}

} // namespace

/// A request with what is derived from it once per decision.
struct Router::Query {
    const RoutingRequest &request;
    std::vector<Index> tried;
    SteadyTime now;
    Random &random;
};

/// Up to two candidate servers.
struct Router::CandidatePair {
    std::optional<Index> first;
    std::optional<Index> second;
};

Router::Router(const BackendTable &table, FailureDomainId localDomain, RouterOptions options)
    : m_table(table)
    , m_localDomain(std::move(localDomain))
    , m_options(options)
{
}

Result<RoutingDecision, RoutingError>
Router::choose(const RoutingRequest &request, SteadyTime now, Random &random) const
{
    Query query{request, {}, now, random};
    for (const BackendServerId &id : request.tried) {
        if (const auto index = m_table.find(id)) {
            query.tried.push_back(*index);
        }
    }
    if (request.slotOwner) {
        return chooseSlotOwner(query);
    }
    const auto &pools = m_table.pools(request.service);
    const auto local = std::find_if(
        pools.begin(), pools.end(), [this](const Pool &pool) { return pool.failureDomain == m_localDomain; });
    std::optional<RoutingDecision> found;
    if (local != pools.end()) {
        found = chooseFromPool(query, *local, local->live);
    }
    if (!found) {
        found = chooseRemote(query, pools);
    }
    if (!found && local != pools.end()) {
        found = chooseFromPool(query, *local, local->suspect);
        if (found) {
            found->reason = RoutingReason::SuspectServer;
        }
    }
    if (!found) {
        return failure(error(query));
    }
    return *std::move(found);
}

Result<RoutingDecision, RoutingError> Router::chooseSlotOwner(const Query &query) const
{
    const auto owner = m_table.find(*query.request.slotOwner);
    if (!owner || m_table.availability(*owner, query.now) != Availability::Available
        || !m_table.mayDecideKeys(*owner)) {
        const RoutingErrorCode code = RoutingErrorCode::SlotOwnerUnavailable;
        return failure(RoutingError{code, query.request.service, m_options.overloadRetryAfter});
    }
    const RoutedServer &server = m_table.server(*owner);
    RoutingDecision decision;
    decision.server = server.id;
    decision.failureDomain = server.failureDomain;
    decision.score = m_table.inFlight(*owner);
    decision.reason = RoutingReason::SlotOwner;
    return decision;
}

std::optional<RoutingDecision> Router::chooseRemote(const Query &query, const std::vector<Pool> &pools) const
{
    std::vector<const Pool *> remote;
    for (const Pool &pool : pools) {
        if (pool.failureDomain != m_localDomain && m_table.isReachable(pool.failureDomain)) {
            remote.push_back(&pool);
        }
    }
    std::shuffle(remote.begin(), remote.end(), query.random);
    for (const Pool *pool : remote) {
        if (auto found = chooseFromPool(query, *pool, pool->live)) {
            found->reason = RoutingReason::SpillOver;
            return found;
        }
    }
    return std::nullopt;
}

std::optional<RoutingDecision>
Router::chooseFromPool(const Query &query, const Pool &pool, const std::vector<Index> &members) const
{
    bool affinityOverloaded = false;
    if (!query.request.prompt.empty()) {
        auto affinityChoice = chooseByAffinity(query, pool, members);
        if (affinityChoice && affinityChoice->reason == RoutingReason::PrefixAffinity) {
            return affinityChoice;
        }
        affinityOverloaded = affinityChoice.has_value();
    }
    CandidatePair pair = drawCandidates(query, members);
    if (!pair.first) {
        return std::nullopt;
    }
    if (!pair.second) {
        return decision(query, pool, pair, RoutingReason::OnlyCandidate);
    }
    if (m_table.score(*pair.second, pool, query.now) < m_table.score(*pair.first, pool, query.now)) {
        std::swap(pair.first, pair.second);
    }
    return decision(
        query, pool, pair, affinityOverloaded ? RoutingReason::AffinityOverloaded : RoutingReason::LowerScore);
}

/// Chooses the usable server with the highest rendezvous hash. The reason tells whether its load is low enough.
std::optional<RoutingDecision>
Router::chooseByAffinity(const Query &query, const Pool &pool, const std::vector<Index> &members) const
{
    const std::uint64_t prefix = hash64(query.request.prompt.substr(0, m_options.affinityPrefixBytes));
    CandidatePair best;
    std::uint64_t firstWeight = 0;
    std::uint64_t secondWeight = 0;
    for (const Index index : members) {
        const std::uint64_t weight = combineHashes(prefix, m_table.idHash(index));
        if ((best.second && weight <= secondWeight) || !isUsable(query, index)) {
            continue;
        }
        if (!best.first || weight > firstWeight) {
            best.second = best.first;
            secondWeight = firstWeight;
            best.first = index;
            firstWeight = weight;
        } else {
            best.second = index;
            secondWeight = weight;
        }
    }
    if (!best.first) {
        return std::nullopt;
    }
    const double bound = m_options.affinityFactor * m_table.meanScore(pool, query.now) + m_options.affinitySlack;
    const bool withinBound = m_table.score(*best.first, pool, query.now) <= bound;
    return decision(query, pool, best, withinBound ? RoutingReason::PrefixAffinity : RoutingReason::AffinityOverloaded);
}

Router::CandidatePair Router::drawCandidates(const Query &query, const std::vector<Index> &members) const
{
    CandidatePair pair;
    const auto addCandidate = [&](Index index) {
        if (pair.first == index || !isUsable(query, index)) {
            return;
        }
        (pair.first ? pair.second : pair.first) = index;
    };
    if (members.empty()) {
        return pair;
    }
    std::uniform_int_distribution<std::size_t> position(0, members.size() - 1);
    for (int draw = 0; draw < MAX_RANDOM_DRAWS && !pair.second; ++draw) {
        addCandidate(members[position(query.random)]);
    }
    const std::size_t start = position(query.random);
    for (std::size_t step = 0; step < members.size() && !pair.second; ++step) {
        addCandidate(members[(start + step) % members.size()]);
    }
    return pair;
}

bool Router::isUsable(const Query &query, Index index) const
{
    return std::find(query.tried.begin(), query.tried.end(), index) == query.tried.end()
        && m_table.availability(index, query.now) == Availability::Available;
}

RoutingDecision Router::decision(const Query &query, const Pool &pool, CandidatePair pair, RoutingReason reason) const
{
    const RoutedServer &chosen = m_table.server(*pair.first);
    RoutingDecision decision;
    decision.server = chosen.id;
    decision.failureDomain = chosen.failureDomain;
    decision.score = m_table.score(*pair.first, pool, query.now);
    if (pair.second) {
        decision.otherCandidate = m_table.server(*pair.second).id;
        decision.otherCandidateScore = m_table.score(*pair.second, pool, query.now);
    }
    decision.reason = reason;
    return decision;
}

RoutingError Router::error(const Query &query) const
{
    RoutingError error{RoutingErrorCode::NoServer, query.request.service, m_options.noServerRetryAfter};
    std::optional<SteadyTime> exclusionEnd;
    bool anyTried = false;
    bool anyAtLimit = false;
    for (const Pool &pool : m_table.pools(query.request.service)) {
        error.code = RoutingErrorCode::NoLiveServer;
        if (pool.failureDomain != m_localDomain && !m_table.isReachable(pool.failureDomain)) {
            continue;
        }
        for (const Index index : pool.live) {
            const Availability availability = m_table.availability(index, query.now);
            anyTried = anyTried || availability == Availability::Available;
            anyAtLimit = anyAtLimit || availability == Availability::AtLimit;
            if (availability == Availability::Excluded) {
                exclusionEnd = std::min(exclusionEnd.value_or(SteadyTime::max()), m_table.excludedUntil(index));
            }
        }
    }
    if (anyAtLimit) {
        error.code = RoutingErrorCode::AllAtLimit;
        error.retryAfter = m_options.overloadRetryAfter;
    } else if (exclusionEnd) {
        error.code = RoutingErrorCode::AllExcluded;
        error.retryAfter = retryDelayUntil(*exclusionEnd, query.now, m_options.overloadRetryAfter);
    } else if (anyTried) {
        error.code = RoutingErrorCode::AllTried;
        error.retryAfter = m_options.overloadRetryAfter;
    }
    return error;
}

} // namespace Cardamomhill
