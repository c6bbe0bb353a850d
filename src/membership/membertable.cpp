#include "membership/membertable.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>

#include <msgpack.hpp>

namespace Cardamomhill
{

namespace
{

// How long a suspect member has to refute the suspicion. It is notified within a second by broadcast, or by any answer
// to its own gossip.
constexpr Seconds SuspicionTimeout(5);
// Dead and leaving members are kept long enough that no slow peer reintroduces them as live.
constexpr Seconds RemovalDelay(600);
// Loads are announced at least this often; a server that missed four announcements has no agent that reports.
constexpr Seconds AnnouncementPeriod(30);
constexpr Seconds ServerTimeout(120);
constexpr Seconds RecentReportWindow(40);
constexpr double TransmissionsPerDoubling = 3.0;
constexpr Milliseconds AgeUnit(100);

int precedence(std::uint8_t state)
{
    switch (static_cast<MemberState>(state)) {
    case MemberState::Live:
        return 0;
    case MemberState::Suspect:
        return 1;
    case MemberState::Dead:
        return 2;
    case MemberState::Leaving:
        return 3;
    }
    return 0;
}

bool isState(std::uint8_t state, MemberState expected)
{
    return static_cast<MemberState>(state) == expected;
}

bool advanceState(std::uint8_t &state, std::uint8_t other)
{
    if (precedence(other) <= precedence(state)) {
        return false;
    }
    state = other;
    return true;
}

template<class Row>
std::size_t packedSize(const Row &row)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, row);
    return buffer.size();
}

std::uint16_t ageInUnits(Microseconds age)
{
    return static_cast<std::uint16_t>(std::clamp<Microseconds::rep>(age / AgeUnit, 0, UINT16_MAX));
}

std::uint32_t difference(std::uint32_t left, std::uint32_t right)
{
    return left > right ? left - right : right - left;
}

template<class Entries>
auto entriesToSend(Entries &entries, std::uint32_t limit)
{
    std::vector<typename Entries::mapped_type *> chosen;
    for (auto &[hash, entry] : entries) {
        if (entry.sendCount < limit) {
            chosen.push_back(&entry);
        }
    }
    std::sort(chosen.begin(), chosen.end(), [](const auto *left, const auto *right) {
        return std::pair(left->sendCount, right->changed) < std::pair(right->sendCount, left->changed);
    });
    return chosen;
}

} // namespace

bool MemberTable::mergeHost(const HostRow &row, SteadyTime now)
{
    const auto [found, isNew] = m_hosts.try_emplace(hashOf(HostId(row.name)), Host{row, now});
    auto &host = found->second;
    bool changed = isNew;
    if (row.incarnation > host.row.incarnation) {
        host.row = row;
        changed = true;
    } else if (!isNew && row.incarnation == host.row.incarnation) {
        changed = advanceState(host.row.state, row.state);
        if (row.reachabilityVersion > host.row.reachabilityVersion) {
            host.row.reachabilityVersion = row.reachabilityVersion;
            host.row.isPlatformUnreachable = row.isPlatformUnreachable;
            changed = true;
        }
    }
    if (changed) {
        host.changed = now;
        host.sendCount = 0;
        m_addresses[host.row.address] = found->first;
        ++m_hostChangeCount;
    }
    return changed;
}

bool MemberTable::mergeServer(const ServerRow &row, SteadyTime now)
{
    const auto [found, isNew] = m_servers.try_emplace(row.server, Server{row, {}, now, now, now, now});
    auto &server = found->second;
    const bool isNewer = isNew || row.incarnation > server.row.incarnation;
    const bool isSame = !isNewer && row.incarnation == server.row.incarnation;
    const bool newState = isNewer || (isSame && advanceState(server.row.state, row.state));
    const bool newLoad = isNewer || (isSame && row.sequence > server.row.sequence);
    if (isNewer) {
        server.row = row;
    }
    if (newLoad) {
        server.row.setLoad(row.load());
        server.reportedAt = now - row.age * AgeUnit;
        server.lastReceived = now;
    }
    if (newState || (newLoad && isSignificant(server, now))) {
        announce(server, now);
    }
    return newState || newLoad;
}

const HostRow *MemberTable::host(std::uint64_t hash) const
{
    const auto found = m_hosts.find(hash);
    return found == m_hosts.end() ? nullptr : &found->second.row;
}

std::vector<HostRow> MemberTable::hosts() const
{
    std::vector<HostRow> rows;
    for (const auto &[hash, host] : m_hosts) {
        rows.push_back(host.row);
    }
    return rows;
}

std::optional<std::uint64_t> MemberTable::hostHashAt(const ControlAddress &address) const
{
    const auto found = m_addresses.find(address.value());
    return found == m_addresses.end() ? std::nullopt : std::optional(found->second);
}

std::size_t MemberTable::hostCount() const
{
    return m_hosts.size();
}

std::uint64_t MemberTable::hostChangeCount() const
{
    return m_hostChangeCount;
}

std::size_t MemberTable::serverCount() const
{
    return m_servers.size();
}

std::optional<ServerLoad> MemberTable::server(const BackendServerId &server) const
{
    const auto found = m_servers.find(hashOf(server));
    if (found == m_servers.end()) {
        return std::nullopt;
    }
    const auto &row = found->second.row;
    return ServerLoad{static_cast<MemberState>(row.state), row.incarnation, row.load(), found->second.reportedAt};
}

std::optional<ServerRow> MemberTable::serverRow(std::uint64_t server, SteadyTime now) const
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? std::nullopt : std::optional(agedRow(found->second, now));
}

bool MemberTable::hasRecentReport(std::uint64_t server, SteadyTime now) const
{
    const auto found = m_servers.find(server);
    return found != m_servers.end() && now - found->second.lastReceived < RecentReportWindow;
}

MemberRows MemberTable::rowsToSend(std::size_t byteBudget, SteadyTime now)
{
    MemberRows rows;
    const auto left = addServers(rows, addHosts(rows, byteBudget), now);
    addExtraServer(rows, left, now);
    return rows;
}

MemberRows MemberTable::allRows(SteadyTime now) const
{
    MemberRows rows;
    for (const auto &[hash, host] : m_hosts) {
        rows.hosts.push_back(host.row);
    }
    for (const auto &[hash, server] : m_servers) {
        rows.servers.push_back(agedRow(server, now));
    }
    return rows;
}

std::vector<std::uint64_t> MemberTable::hostsIn(MemberState state) const
{
    std::vector<std::uint64_t> hashes;
    for (const auto &[hash, host] : m_hosts) {
        if (isState(host.row.state, state)) {
            hashes.push_back(hash);
        }
    }
    return hashes;
}

std::vector<HostRow> MemberTable::expire(SteadyTime now)
{
    std::vector<HostRow> died;
    for (auto &[hash, host] : m_hosts) {
        if (isState(host.row.state, MemberState::Suspect) && now - host.changed > SuspicionTimeout) {
            host.row.state = static_cast<std::uint8_t>(MemberState::Dead);
            host.changed = now;
            host.sendCount = 0;
            ++m_hostChangeCount;
            died.push_back(host.row);
        }
    }
    std::erase_if(m_hosts, [now](const auto &entry) {
        const auto state = entry.second.row.state;
        const bool isGone = isState(state, MemberState::Dead) || isState(state, MemberState::Leaving);
        return isGone && now - entry.second.changed > RemovalDelay;
    });
    std::erase_if(m_addresses, [this](const auto &entry) { return m_hosts.count(entry.second) == 0; });
    expireServers(now);
    return died;
}

void MemberTable::shiftTimes(Microseconds pause)
{
    for (auto &[hash, host] : m_hosts) {
        host.changed += pause;
    }
    for (auto &[hash, server] : m_servers) {
        server.changed += pause;
        server.lastReceived += pause;
    }
}

std::uint64_t MemberTable::hashOf(const HostId &host)
{
    return hash64(host.value());
}

std::uint64_t MemberTable::hashOf(const BackendServerId &server)
{
    return hash64(server.value());
}

std::uint32_t MemberTable::transmissionLimit() const
{
    const auto hosts = static_cast<double>(m_hosts.size());
    return static_cast<std::uint32_t>(std::ceil(TransmissionsPerDoubling * std::log2(hosts + 1)));
}

void MemberTable::announce(Server &server, SteadyTime now) const
{
    server.changed = now;
    server.announced = server.row.load();
    server.announcedAt = now;
    server.sendCount = 0;
}

bool MemberTable::isSignificant(const Server &server, SteadyTime now)
{
    const auto load = server.row.load();
    const bool changedEnough
        = difference(load.running + load.queued, server.announced.running + server.announced.queued)
        >= load.significantChange();
    return changedEnough || load.capacity != server.announced.capacity
        || now - server.announcedAt >= AnnouncementPeriod;
}

ServerRow MemberTable::agedRow(const Server &server, SteadyTime now)
{
    auto row = server.row;
    row.age = ageInUnits(now - server.reportedAt);
    return row;
}

std::size_t MemberTable::addHosts(MemberRows &rows, std::size_t budget)
{
    for (auto *host : entriesToSend(m_hosts, transmissionLimit())) {
        const auto size = packedSize(host->row);
        if (size > budget) {
            break;
        }
        budget -= size;
        ++host->sendCount;
        rows.hosts.push_back(host->row);
    }
    return budget;
}

std::size_t MemberTable::addServers(MemberRows &rows, std::size_t budget, SteadyTime now)
{
    for (auto *server : entriesToSend(m_servers, transmissionLimit())) {
        const auto row = agedRow(*server, now);
        const auto size = packedSize(row);
        if (size > budget) {
            break;
        }
        budget -= size;
        ++server->sendCount;
        rows.servers.push_back(row);
    }
    return budget;
}

void MemberTable::addExtraServer(MemberRows &rows, std::size_t budget, SteadyTime now)
{
    auto next = m_servers.upper_bound(m_extraServerCursor);
    m_extraServerCursor = next == m_servers.end() ? 0 : next->first;
    if (next == m_servers.end() || isState(next->second.row.state, MemberState::Dead)) {
        return;
    }
    const auto row = agedRow(next->second, now);
    if (packedSize(row) <= budget) {
        rows.servers.push_back(row);
    }
}

void MemberTable::expireServers(SteadyTime now)
{
    for (auto &[hash, server] : m_servers) {
        auto &state = server.row.state;
        const bool isUnresponsive = isState(state, MemberState::Live) && now - server.lastReceived > ServerTimeout;
        const bool isUnrefuted = isState(state, MemberState::Suspect) && now - server.changed > SuspicionTimeout;
        if (isUnresponsive || isUnrefuted) {
            state = static_cast<std::uint8_t>(isUnresponsive ? MemberState::Suspect : MemberState::Dead);
            announce(server, now);
        }
    }
    std::erase_if(m_servers, [now](const auto &entry) {
        const auto state = entry.second.row.state;
        const bool isGone = isState(state, MemberState::Dead) || isState(state, MemberState::Leaving);
        return isGone && now - entry.second.changed > RemovalDelay;
    });
}

} // namespace Cardamomhill
