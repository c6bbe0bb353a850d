#include "routing/backendtable.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>

namespace Cardamomhill
{

namespace
{

double loadOf(const LoadReport &report)
{
    return static_cast<double>(report.running) + static_cast<double>(report.queued);
}

/// A leaving server does not return within its incarnation, not even after it was declared dead.
bool isFinal(MemberState state)
{
    return state == MemberState::Leaving;
}

} // namespace

BackendTable::BackendTable(BackendTableOptions options)
    : m_options(options)
{
}

void BackendTable::upsert(const RoutedServer &server)
{
    const auto found = m_indices.find(server.id);
    if (found == m_indices.end()) {
        Index index = static_cast<Index>(m_entries.size());
        if (m_freeIndices.empty()) {
            m_entries.emplace_back();
        } else {
            index = m_freeIndices.back();
            m_freeIndices.pop_back();
        }
        m_entries[index] = Entry{};
        m_entries[index].server = server;
        m_entries[index].idHash = hash64(server.id.value());
        m_indices.emplace(server.id, index);
        addToPool(index);
        return;
    }
    Entry &entry = m_entries[found->second];
    entry.server.capacityLimit = server.capacityLimit;
    if (entry.server.service != server.service || entry.server.failureDomain != server.failureDomain) {
        removeFromPool(found->second);
        entry.server.service = server.service;
        entry.server.failureDomain = server.failureDomain;
        addToPool(found->second);
    }
    setState(server.id, server.incarnation, server.state);
}

void BackendTable::remove(const BackendServerId &id)
{
    const auto found = m_indices.find(id);
    if (found == m_indices.end()) {
        return;
    }
    removeFromPool(found->second);
    m_freeIndices.push_back(found->second);
    m_indices.erase(found);
}

void BackendTable::setState(const BackendServerId &id, std::uint64_t incarnation, MemberState state)
{
    const auto found = m_indices.find(id);
    if (found == m_indices.end()) {
        return;
    }
    Entry &entry = m_entries[found->second];
    if (incarnation < entry.server.incarnation) {
        return;
    }
    const bool isRestart = incarnation > entry.server.incarnation;
    if (!isRestart && (state == entry.server.state || isFinal(entry.server.state))) {
        return;
    }
    removeFromPool(found->second);
    if (isRestart) {
        entry.report.reset();
        entry.inFlightAtReport = 0;
        entry.consecutiveFailures = 0;
        entry.excludedUntil = {};
    }
    entry.server.incarnation = incarnation;
    entry.server.state = state;
    addToPool(found->second);
}

void BackendTable::report(
    const BackendServerId &id, std::uint64_t incarnation, const LoadReport &report, ReportSource source, SteadyTime now)
{
    const auto found = m_indices.find(id);
    if (found == m_indices.end()) {
        return;
    }
    Entry &entry = m_entries[found->second];
    if (incarnation != entry.server.incarnation) {
        return;
    }
    if (entry.report && report.sequence <= entry.report->sequence) {
        return;
    }
    if (source == ReportSource::Reply && entry.report && entry.server.state == MemberState::Live) {
        updateReliability(entry, report, now);
    }
    entry.report = report;
    entry.reportedAt = now;
    entry.source = source;
    entry.inFlightAtReport = entry.inFlight;
}

void BackendTable::updateReliability(const Entry &entry, const LoadReport &report, SteadyTime now)
{
    Pool &pool = poolOf(entry.server);
    refreshMeans(pool, now);
    const double reported = reportWeight(entry, now) * (loadOf(*entry.report) - pool.meanFreshLoad);
    pool.reliability.observe(entry.source, now - entry.reportedAt, reported, loadOf(report) - pool.meanFreshLoad);
}

void BackendTable::attemptStarted(const BackendServerId &id)
{
    const auto found = m_indices.find(id);
    if (found != m_indices.end()) {
        ++m_entries[found->second].inFlight;
    }
}

void BackendTable::attemptFinished(const BackendServerId &id, AttemptResult result, SteadyTime now)
{
    const auto found = m_indices.find(id);
    if (found == m_indices.end()) {
        return;
    }
    Entry &entry = m_entries[found->second];
    // The count restarts at 0 if the server is removed and added again during the attempt.
    if (entry.inFlight > 0) {
        --entry.inFlight;
    }
    entry.inFlightBeforeProbe = std::min(entry.inFlightBeforeProbe, entry.inFlight);
    if (result == AttemptResult::Success) {
        entry.consecutiveFailures = 0;
        entry.excludedUntil = {};
    } else if (result == AttemptResult::Failure) {
        recordFailure(entry, now);
    }
}

void BackendTable::recordFailure(Entry &entry, SteadyTime now)
{
    // Attempts that were in flight when the exclusion began give no new information, so they do not prolong it.
    if (now < entry.excludedUntil) {
        return;
    }
    ++entry.consecutiveFailures;
    if (entry.consecutiveFailures < m_options.failuresBeforeExclusion) {
        return;
    }
    Microseconds exclusion = m_options.initialExclusion;
    for (auto n = m_options.failuresBeforeExclusion;
         n < entry.consecutiveFailures && exclusion < m_options.maximumExclusion;
         ++n) {
        exclusion *= 2;
    }
    entry.excludedUntil = now + std::min(exclusion, m_options.maximumExclusion);
    entry.inFlightBeforeProbe = entry.inFlight;
}

void BackendTable::setReachable(const FailureDomainId &domain, bool reachable)
{
    if (reachable) {
        m_unreachable.erase(domain);
    } else {
        m_unreachable.insert(domain);
    }
}

bool BackendTable::isReachable(const FailureDomainId &domain) const
{
    return m_unreachable.count(domain) == 0;
}

std::optional<BackendTable::Index> BackendTable::find(const BackendServerId &id) const
{
    const auto found = m_indices.find(id);
    return found == m_indices.end() ? std::nullopt : std::optional<Index>(found->second);
}

const RoutedServer &BackendTable::server(Index index) const
{
    return m_entries[index].server;
}

std::uint64_t BackendTable::idHash(Index index) const
{
    return m_entries[index].idHash;
}

std::uint32_t BackendTable::inFlight(Index index) const
{
    return m_entries[index].inFlight;
}

const std::vector<BackendTable::Pool> &BackendTable::pools(const ServiceId &service) const
{
    static const std::vector<Pool> NONE;
    const auto found = m_pools.find(service);
    return found == m_pools.end() ? NONE : found->second;
}

Availability BackendTable::availability(Index index, SteadyTime now) const
{
    const Entry &entry = m_entries[index];
    if (entry.server.state == MemberState::Leaving || entry.server.state == MemberState::Dead) {
        return Availability::NotLive;
    }
    // After an exclusion one request at a time probes the server until one succeeds. Long streams that started before
    // the exclusion do not count, so they do not delay the probe.
    const bool probing = entry.consecutiveFailures >= m_options.failuresBeforeExclusion;
    if (now < entry.excludedUntil || (probing && entry.inFlight > entry.inFlightBeforeProbe)) {
        return Availability::Excluded;
    }
    if (entry.report && entry.report->capacity == 0) {
        return Availability::AtLimit;
    }
    if (entry.server.capacityLimit == 0) {
        return Availability::Available;
    }
    // The report includes this process's requests in flight at that time, so only the change since then is added.
    double outstanding = entry.inFlight;
    if (entry.report) {
        const double change = static_cast<double>(entry.inFlight) - static_cast<double>(entry.inFlightAtReport);
        outstanding = std::max(outstanding, reportWeight(entry, now) * loadOf(*entry.report) + change);
    }
    return outstanding < entry.server.capacityLimit ? Availability::Available : Availability::AtLimit;
}

bool BackendTable::mayDecideKeys(Index index) const
{
    const auto &report = m_entries[index].report;
    return !report || report->isCapacityKnown();
}

SteadyTime BackendTable::excludedUntil(Index index) const
{
    return m_entries[index].excludedUntil;
}

double BackendTable::score(Index index, const Pool &pool, SteadyTime now) const
{
    refreshMeans(pool, now);
    const Entry &entry = m_entries[index];
    return static_cast<double>(entry.inFlight) + estimatedLoad(entry, pool, now);
}

double BackendTable::meanScore(const Pool &pool, SteadyTime now) const
{
    refreshMeans(pool, now);
    return pool.meanScore;
}

std::size_t BackendTable::size() const
{
    return m_indices.size();
}

double BackendTable::reportWeight(const Entry &entry, SteadyTime now) const
{
    if (!entry.report) {
        return 0;
    }
    const Microseconds excessAge = now - entry.reportedAt - m_options.freshReportAge;
    if (excessAge <= Microseconds::zero()) {
        return 1;
    }
    return std::exp2(-static_cast<double>(excessAge.count()) / static_cast<double>(m_options.reportHalfLife.count()));
}

double BackendTable::estimatedLoad(const Entry &entry, const Pool &pool, SteadyTime now) const
{
    if (!entry.report) {
        return pool.meanFreshLoad;
    }
    const double weight = reportWeight(entry, now) * pool.reliability.weight(entry.source, now - entry.reportedAt);
    return weight * loadOf(*entry.report) + (1 - weight) * pool.meanFreshLoad;
}

void BackendTable::refreshMeans(const Pool &pool, SteadyTime now) const
{
    if (pool.meansComputedAt && now - *pool.meansComputedAt < m_options.meanCacheLifetime) {
        return;
    }
    pool.meansComputedAt = now;
    double freshLoad = 0;
    std::size_t fresh = 0;
    for (const Index index : pool.live) {
        const Entry &entry = m_entries[index];
        if (entry.report && now - entry.reportedAt <= m_options.freshReportAge) {
            freshLoad += loadOf(*entry.report);
            ++fresh;
        }
    }
    pool.meanFreshLoad = fresh == 0 ? 0 : freshLoad / static_cast<double>(fresh);
    double scores = 0;
    for (const Index index : pool.live) {
        const Entry &entry = m_entries[index];
        scores += static_cast<double>(entry.inFlight) + estimatedLoad(entry, pool, now);
    }
    pool.meanScore = pool.live.empty() ? 0 : scores / static_cast<double>(pool.live.size());
}

BackendTable::Pool &BackendTable::poolOf(const RoutedServer &server)
{
    auto &pools = m_pools[server.service];
    const auto found = std::find_if(
        pools.begin(), pools.end(), [&](const Pool &pool) { return pool.failureDomain == server.failureDomain; });
    if (found != pools.end()) {
        return *found;
    }
    pools.emplace_back();
    pools.back().failureDomain = server.failureDomain;
    return pools.back();
}

void BackendTable::addToPool(Index index)
{
    const RoutedServer &server = m_entries[index].server;
    Pool &pool = poolOf(server);
    ++pool.serverCount;
    if (server.state == MemberState::Live) {
        pool.live.push_back(index);
    } else if (server.state == MemberState::Suspect) {
        pool.suspect.push_back(index);
    }
    pool.meansComputedAt.reset();
}

void BackendTable::removeFromPool(Index index)
{
    const RoutedServer &server = m_entries[index].server;
    auto &pools = m_pools[server.service];
    const auto pool = std::find_if(pools.begin(), pools.end(), [&](const Pool &candidate) {
        return candidate.failureDomain == server.failureDomain;
    });
    if (pool == pools.end()) {
        return;
    }
    std::erase(pool->live, index);
    std::erase(pool->suspect, index);
    pool->meansComputedAt.reset();
    --pool->serverCount;
    // Empty pools are removed, or the table would grow as services and failure domains change over months.
    if (pool->serverCount == 0) {
        pools.erase(pool);
    }
    if (pools.empty()) {
        m_pools.erase(server.service);
    }
}

} // namespace Cardamomhill
