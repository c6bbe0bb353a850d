#include "traffic/coldserverlimit.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Cardamomhill
{

namespace
{

/// A server that registers again after this time counts as new.
constexpr Seconds GoneLifetime{3600};

/// The limit of a service in calls a second; 0 for no limit.
double limitOf(const TrafficService &service, const ColdServerLimitOptions &options)
{
    return service.coldCallsPerSecond > 0 ? service.coldCallsPerSecond * *options.overshoot + *options.slack : 0;
}

} // namespace

ColdServerLimit::ColdServerLimit(ColdServerLimitOptions options)
    : m_options(std::move(options))
{
}

bool ColdServerLimit::isEnabled() const
{
    return m_options.overshoot && m_options.slack;
}

void ColdServerLimit::setServices(const std::unordered_map<ServiceId, TrafficService> &services)
{
    if (!isEnabled()) {
        return;
    }
    std::unordered_map<ServiceId, ServiceLimit> limited;
    for (const auto &[id, service] : services) {
        if (const double limit = limitOf(service, m_options); limit > 0) {
            limited[id] = {service.coldStart, limit};
        }
    }
    if (limited != m_services) {
        m_services = std::move(limited);
        updateLimits();
    }
}

void ColdServerLimit::setHosts(const std::set<HostId> &hosts, SteadyTime now)
{
    const auto count = m_hosts.size();
    for (const auto &host : hosts) {
        m_hosts[host] = now;
    }
    m_hosts[m_options.host] = now;
    const bool isAnyNew = m_hosts.size() != count;
    const auto gone
        = std::erase_if(m_hosts, [&](const auto &entry) { return now - entry.second > m_options.hostLifetime; });
    if (isAnyNew || gone > 0) {
        updateLimits();
    }
}

void ColdServerLimit::addHost(const HostId &host, SteadyTime now)
{
    // Those that are heard before the first list are in the list that setHosts() receives.
    if (!m_hosts.empty() && m_hosts.insert_or_assign(host, now).second) {
        updateLimits();
    }
}

void ColdServerLimit::setRegistered(SteadyTime since)
{
    m_sendsFrom = since + m_options.window;
}

void ColdServerLimit::apply(const ServerChanges &changes, SteadyTime now)
{
    if (!isEnabled()) {
        return;
    }
    forgetGone(now);
    for (const auto &server : changes.updated) {
        putServer(server, changes.isFirstList, now);
    }
    for (const auto &id : changes.removed) {
        if (const auto found = m_servers.find(id); found != m_servers.end()) {
            found->second.goneAt = now;
        }
    }
    for (const auto &statement : changes.cold) {
        recordStated(statement, now);
    }
}

void ColdServerLimit::putServer(const DiscoveredServer &server, bool isFirstList, SteadyTime now)
{
    const auto [found, isUnknown] = m_servers.try_emplace(server.id);
    auto &known = found->second;
    const auto process = processOf(server);
    // Without a start time, a server that was gone cannot be told from its successor.
    const bool isSame = known.process == process && (!known.goneAt || process.startedAt != 0);
    if (isUnknown ? !isFirstList : !isSame) {
        known.newSince = now;
    }
    known.process = process;
    known.service = server.service;
    known.goneAt.reset();
    updateLimit(server.id, known);
}

void ColdServerLimit::forgetGone(SteadyTime now)
{
    std::erase_if(m_servers, [now](const auto &entry) {
        return entry.second.goneAt && now - *entry.second.goneAt > GoneLifetime;
    });
}

void ColdServerLimit::recordStated(const ColdStatement &statement, SteadyTime now)
{
    const auto found = m_servers.find(statement.server);
    if (found == m_servers.end() || statement.remaining <= Milliseconds(0)) {
        return;
    }
    auto &server = found->second;
    auto longest = m_options.maxStatedTime;
    if (server.coldStart > Milliseconds(0)) {
        longest = std::min(longest, server.coldStart + m_options.registrationAge);
    }
    // An older statement may arrive after a later one, so none shortens the time.
    server.statedUntil = std::max(server.statedUntil, now + std::min(statement.remaining, longest));
}

void ColdServerLimit::recordRestored(const std::vector<BackendServerId> &servers, SteadyTime now)
{
    for (const auto &id : servers) {
        if (const auto found = m_servers.find(id); found != m_servers.end()) {
            found->second.restoredAt = now;
        }
    }
}

const ColdServerLimit::Server *ColdServerLimit::limitedServer(const BackendServerId &id) const
{
    if (m_services.empty()) {
        return nullptr;
    }
    const auto found = m_servers.find(id);
    return found == m_servers.end() || found->second.limit == 0 ? nullptr : &found->second;
}

ColdServerLimit::ColdTime ColdServerLimit::coldTimeOf(const Server &server) const
{
    ColdTime latest{server.statedUntil, ColdReason::Stated};
    const auto add = [&latest](SteadyTime end, ColdReason reason) {
        if (end > latest.end) {
            latest = {end, reason};
        }
    };
    if (server.newSince) {
        add(*server.newSince + server.coldStart, ColdReason::NewProcess);
    }
    if (server.restoredAt) {
        add(*server.restoredAt + server.coldStart + m_options.registrationAge, ColdReason::Restored);
    }
    return latest;
}

bool ColdServerLimit::isCold(const BackendServerId &server, SteadyTime now) const
{
    const auto *known = limitedServer(server);
    return known != nullptr && coldTimeOf(*known).end > now;
}

bool ColdServerLimit::maySend(const BackendServerId &server, SteadyTime now) const
{
    const auto *known = limitedServer(server);
    return known == nullptr || coldTimeOf(*known).end <= now || hasRoom(*known, now);
}

bool ColdServerLimit::hasRoom(const Server &server, SteadyTime now) const
{
    const auto first = std::upper_bound(server.calls.begin(), server.calls.end(), now - m_options.window);
    return now >= m_sendsFrom && static_cast<std::size_t>(server.calls.end() - first) < server.share;
}

void ColdServerLimit::recordStarted(const BackendServerId &server, SteadyTime now)
{
    if (limitedServer(server) == nullptr) {
        return;
    }
    auto &known = m_servers.at(server);
    known.calls.push_back(now);
    // More than the limit leave no room, whatever this host's share is.
    const bool isTooMany = static_cast<double>(known.calls.size()) > known.limit + 1;
    if (isTooMany || known.calls.front() <= now - m_options.window) {
        known.calls.pop_front();
    }
}

bool ColdServerLimit::recordSent(const BackendServerId &server, SteadyTime startedAt, SteadyTime now)
{
    if (limitedServer(server) == nullptr) {
        return true;
    }
    auto &calls = m_servers.at(server).calls;
    const auto counted = std::find(calls.begin(), calls.end(), startedAt);
    if (counted != calls.end()) {
        calls.erase(counted);
    }
    if (!maySend(server, now)) {
        return false;
    }
    recordStarted(server, now);
    return true;
}

std::vector<ColdServerChange> ColdServerLimit::takeChanges(SteadyTime now)
{
    std::vector<ColdServerChange> changes;
    for (auto &[id, server] : m_servers) {
        const auto time = coldTimeOf(server);
        const bool isCold = server.limit > 0 && time.end > now && !server.goneAt;
        if (isCold == server.reported.has_value()) {
            continue;
        }
        server.reported = isCold ? std::optional(time.reason) : std::nullopt;
        if (!server.goneAt) {
            const auto remaining = isCold ? std::chrono::ceil<Milliseconds>(time.end - now) : Milliseconds(0);
            changes.push_back({id, server.reported, remaining, server.share});
        }
    }
    return changes;
}

std::size_t ColdServerLimit::coldCount(SteadyTime now) const
{
    return static_cast<std::size_t>(std::count_if(m_servers.begin(), m_servers.end(), [&](const auto &entry) {
        return entry.second.limit > 0 && !entry.second.goneAt && coldTimeOf(entry.second).end > now;
    }));
}

void ColdServerLimit::updateLimits()
{
    for (auto &[id, server] : m_servers) {
        updateLimit(id, server);
    }
}

void ColdServerLimit::updateLimit(const BackendServerId &id, Server &server) const
{
    const auto found = m_services.find(server.service);
    if (found == m_services.end()) {
        server.limit = 0;
        server.calls.clear();
        return;
    }
    server.coldStart = found->second.coldStart;
    server.limit = found->second.calls;
    const auto share = coldShareOf(server.limit, m_hosts.size());
    server.share = rankFor(id) < share.senders ? share.calls : 0;
}

std::size_t ColdServerLimit::rankFor(const BackendServerId &id) const
{
    const auto seed = hash64(id.value());
    const auto own = hash64(m_options.host.value(), seed);
    return static_cast<std::size_t>(std::count_if(m_hosts.begin(), m_hosts.end(), [&](const auto &entry) {
        const auto score = hash64(entry.first.value(), seed);
        return score > own || (score == own && entry.first > m_options.host);
    }));
}

} // namespace Cardamomhill
