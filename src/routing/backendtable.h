#pragma once

#include "core/clocktypes.h"
#include "core/loadreport.h"
#include "routing/attemptresult.h"
#include "routing/reportreliability.h"
#include "routing/reportsource.h"
#include "routing/routedserver.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Cardamomhill
{

/// Parameters of BackendTable.
struct BackendTableOptions {
    /// Reports up to this age have full weight; the weight of older ones halves with each further half-life. An agent
    /// reports at least every 10 s.
    Microseconds freshReportAge = Seconds(10);
    Microseconds reportHalfLife = Seconds(10);
    /// The cached means of a pool are recomputed after this time. A node makes about 25 decisions a second.
    Microseconds meanCacheLifetime = Milliseconds(100);
    /// Consecutive failures that exclude a server.
    std::uint32_t failuresBeforeExclusion = 3;
    /// Duration of the first exclusion; each further failure doubles it.
    Microseconds initialExclusion = Milliseconds(500);
    Microseconds maximumExclusion = Seconds(30);
};

/// Whether a backend server can get a request and, if not, why.
enum class Availability : std::uint8_t {
    Available,
    /// Excluded after failures, or the request that probes it after the exclusion has not ended.
    Excluded,
    AtLimit,
    NotLive,
};

constexpr auto nameTable(Availability)
{
    return std::to_array<NamedValue<Availability>>({
        {Availability::Available, "available"},
        {Availability::Excluded, "excluded"},
        {Availability::AtLimit, "at-limit"},
        {Availability::NotLive, "not-live"},
    });
}

/// The backend servers known to an entry process, with their state, reported load, health and this process's requests
/// in flight on them.
class BackendTable
{
public:
    /// The index of a server in the table, stable until the server is removed.
    using Index = std::uint32_t;

    /// The servers of a service in one failure domain that may get requests.
    struct Pool {
        FailureDomainId failureDomain;
        std::vector<Index> live;
        /// Used only when no live server is available.
        std::vector<Index> suspect;
        /// All servers of the pool, whatever their state.
        std::size_t serverCount = 0;
        /// Mean load of the fresh reports and mean score of the live servers, as of `meansComputedAt`.
        mutable double meanFreshLoad = 0;
        mutable double meanScore = 0;
        mutable std::optional<SteadyTime> meansComputedAt;
        /// How much weight the load reports of these servers deserve.
        internal::ReportReliability reliability;
    };

    explicit BackendTable(BackendTableOptions options = {});

    /// Adds a server, or updates the service, failure domain and limit of a known one, and its state as setState()
    /// does.
    void upsert(const RoutedServer &server);
    void remove(const BackendServerId &id);

    /// Updates the state of a server. States of older incarnations are ignored, and a server that is leaving cannot
    /// become live again within the same incarnation. A higher incarnation clears load report and failures.
    void setState(const BackendServerId &id, std::uint64_t incarnation, MemberState state);

    /// Stores a load report of the server's current incarnation unless a newer one is known. A report that came with a
    /// reply also shows how accurate the previous report was.
    void report(const BackendServerId &id,
                std::uint64_t incarnation,
                const LoadReport &report,
                ReportSource source,
                SteadyTime now);

    /// Counts an attempt of this process on the server. Each call must be followed by one of attemptFinished().
    void attemptStarted(const BackendServerId &id);
    void attemptFinished(const BackendServerId &id, AttemptResult result, SteadyTime now);

    /// Sets whether a failure domain is reachable from this host; initially all are.
    void setReachable(const FailureDomainId &domain, bool reachable);
    bool isReachable(const FailureDomainId &domain) const;

    std::optional<Index> find(const BackendServerId &id) const;
    const RoutedServer &server(Index index) const;
    std::uint64_t idHash(Index index) const;
    std::uint32_t inFlight(Index index) const;

    /// The pools of a service; empty for an unknown one.
    const std::vector<Pool> &pools(const ServiceId &service) const;

    /// Whether the server can get a request. Does not distinguish live servers from suspect ones.
    Availability availability(Index index, SteadyTime now) const;

    /// Whether the agent may have the configuration of its server, without which it refuses all calls with a key.
    bool mayDecideKeys(Index index) const;

    /// When the exclusion ends; a time in the past if the server is not excluded.
    SteadyTime excludedUntil(Index index) const;

    /// This process's requests in flight plus the reported load; lower is better. The older and the less reliable the
    /// report, the more it is replaced by the mean of the pool's fresh reports.
    double score(Index index, const Pool &pool, SteadyTime now) const;
    double meanScore(const Pool &pool, SteadyTime now) const;

    std::size_t size() const;

private:
    struct Entry {
        RoutedServer server;
        std::uint64_t idHash = 0;
        std::optional<LoadReport> report;
        SteadyTime reportedAt{};
        ReportSource source = ReportSource::Gossip;
        std::uint32_t inFlight = 0;
        std::uint32_t inFlightAtReport = 0;
        std::uint32_t consecutiveFailures = 0;
        /// Upper bound of the attempts still in flight that started before the last exclusion.
        std::uint32_t inFlightBeforeProbe = 0;
        SteadyTime excludedUntil{};
    };

    void addToPool(Index index);
    void removeFromPool(Index index);
    Pool &poolOf(const RoutedServer &server);
    void refreshMeans(const Pool &pool, SteadyTime now) const;
    double estimatedLoad(const Entry &entry, const Pool &pool, SteadyTime now) const;
    void updateReliability(const Entry &entry, const LoadReport &report, SteadyTime now);
    double reportWeight(const Entry &entry, SteadyTime now) const;
    void recordFailure(Entry &entry, SteadyTime now);

    BackendTableOptions m_options;
    std::vector<Entry> m_entries;
    std::vector<Index> m_freeIndices;
    std::unordered_map<BackendServerId, Index> m_indices;
    std::unordered_map<ServiceId, std::vector<Pool>> m_pools;
    std::unordered_set<FailureDomainId> m_unreachable;
};

} // namespace Cardamomhill
