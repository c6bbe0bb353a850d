#pragma once

#include "core/clocktypes.h"
#include "core/loadreport.h"
#include "routing/attemptresult.h"
#include "routing/reportsource.h"
#include "routing/reporttrust.h"
#include "routing/routedserver.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Cardamomhill
{

/// Constants of BackendTable.
struct BackendTableOptions {
    /// Reports up to this age count in full; the weight of older ones halves with each further half-life. An agent
    /// reports at least every 10 s.
    Microseconds freshFor = Seconds(10);
    Microseconds halfLife = Seconds(10);
    /// Means over a pool are computed again after this time. A node decides about 25 times a second.
    Microseconds meanLifetime = Milliseconds(100);
    /// Consecutive failures that exclude a server.
    std::uint32_t failuresBeforeExclusion = 3;
    /// First exclusion; each further failure doubles it.
    Microseconds firstExclusion = Milliseconds(500);
    Microseconds longestExclusion = Seconds(30);
};

/// Why a backend server gets no request, or that it may get one.
enum class Availability : std::uint8_t {
    Available,
    /// Excluded after failures, or its first request after the exclusion still runs.
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

/// The backend servers that an entry process knows: their state, load, own work in flight and health.
class BackendTable
{
public:
    /// A position in the table, stable until the server is removed.
    using Index = std::uint32_t;

    /// The servers of a service in one failure domain that may get requests.
    struct Pool {
        FailureDomainId failureDomain;
        std::vector<Index> live;
        /// Asked only when no live server can serve.
        std::vector<Index> suspect;
        /// All servers of the pool, whatever their state.
        std::size_t servers = 0;
        /// Mean load of the fresh reports and mean score of the live servers, as of `meansComputedAt`.
        mutable double meanFreshLoad = 0;
        mutable double meanScore = 0;
        mutable std::optional<SteadyTime> meansComputedAt;
        /// How far reports of these servers can be trusted.
        internal::ReportTrust trust;
    };

    explicit BackendTable(BackendTableOptions options = {});

    /// Adds a server. For a known one, takes over service, failure domain and limit, and its state as setState() does.
    void upsert(const RoutedServer &server);
    void remove(const BackendServerId &id);

    /// Takes a state of a server. Ignores older incarnations and any return from leaving within an incarnation. A
    /// higher incarnation forgets load reports and failures.
    void setState(const BackendServerId &id, std::uint64_t incarnation, MemberState state);

    /// Takes a load report of the server's current incarnation unless a newer one is known. One that came with a reply
    /// also shows how far the report known before could be trusted.
    void report(const BackendServerId &id,
                std::uint64_t incarnation,
                const LoadReport &report,
                ReportSource source,
                SteadyTime now);

    /// Counts an attempt of this process on the server. Each is followed by one finished().
    void started(const BackendServerId &id);
    void finished(const BackendServerId &id, AttemptResult result, SteadyTime now);

    /// Whether a failure domain can be reached from here; all can at first.
    void setReachable(const FailureDomainId &domain, bool reachable);
    bool isReachable(const FailureDomainId &domain) const;

    std::optional<Index> find(const BackendServerId &id) const;
    const RoutedServer &server(Index index) const;
    std::uint64_t idHash(Index index) const;
    std::uint32_t inFlight(Index index) const;

    /// The pools of a service; empty for an unknown one.
    const std::vector<Pool> &pools(const ServiceId &service) const;

    /// Whether the server may get a request, apart from being live or suspect.
    Availability availability(Index index, SteadyTime now) const;

    /// When an exclusion ends; the past if there is none.
    SteadyTime excludedUntil(Index index) const;

    /// Own requests in flight plus the reported load. The less the report can be trusted and the older it is, the more
    /// the mean of the fresh reports in the pool replaces it.
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
        /// Of the attempts in flight when the last exclusion began, those that may still be.
        std::uint32_t inFlightBeforeTrial = 0;
        SteadyTime excludedUntil{};
    };

    void placeInPool(Index index);
    void takeFromPool(Index index);
    Pool &poolOf(const RoutedServer &server);
    void refreshMeans(const Pool &pool, SteadyTime now) const;
    double agedLoad(const Entry &entry, const Pool &pool, SteadyTime now) const;
    void learnTrust(const Entry &entry, const LoadReport &report, SteadyTime now);
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
