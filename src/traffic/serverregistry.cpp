#include "traffic/serverregistry.h"

#include <algorithm>
#include <set>

namespace Cardamomhill
{

ServerRegistry::ServerRegistry(ServerRegistryOptions options)
    : m_options(options)
{
}

void ServerRegistry::replaceAll(const std::vector<DiscoveredServer> &servers, SteadyTime now)
{
    const auto missing = putAll(servers);
    const auto minLapsed = m_options.minLapsedFraction * static_cast<double>(m_entries.size());
    const bool mayHaveLapsed = static_cast<double>(missing.size()) >= minLapsed;
    for (const auto &id : missing) {
        mayHaveLapsed ? remove(id, now) : drop(id);
    }
}

void ServerRegistry::replaceAllAfterRestoration(const std::vector<DiscoveredServer> &servers, SteadyTime now)
{
    for (const auto &id : putAll(servers)) {
        expire(id, now + m_options.reregistrationGrace);
    }
}

std::vector<BackendServerId> ServerRegistry::putAll(const std::vector<DiscoveredServer> &servers)
{
    m_changes.isFirstList = m_changes.isFirstList || !m_hasList;
    m_hasList = true;
    std::set<BackendServerId> listed;
    for (const auto &server : servers) {
        listed.insert(server.id);
        put(server);
    }
    std::vector<BackendServerId> missing;
    for (const auto &[id, entry] : m_entries) {
        if (!listed.contains(id)) {
            missing.push_back(id);
        }
    }
    return missing;
}

void ServerRegistry::put(const DiscoveredServer &server)
{
    auto &entry = m_entries[server.id];
    entry.expiresAt = SteadyTime::max();
    if (server.coldRemaining > Milliseconds(0)) {
        m_changes.cold.push_back({server.id, server.coldRemaining});
    }
    // The remaining time counts down in each registration, which changes nothing else.
    entry.server.coldRemaining = server.coldRemaining;
    if (entry.server == server) {
        return;
    }
    entry.server = server;
    m_changes.updated.push_back(server);
    std::erase(m_changes.removed, server.id);
}

void ServerRegistry::remove(const BackendServerId &id, SteadyTime now)
{
    if (!m_entries.contains(id)) {
        return;
    }
    isInGrace(now) ? expire(id, m_graceEndsAt) : drop(id);
}

void ServerRegistry::expire(const BackendServerId &id, SteadyTime at)
{
    auto &entry = m_entries.at(id);
    if (entry.server.isLeaving) {
        drop(id);
    } else {
        entry.expiresAt = std::min(entry.expiresAt, at);
    }
}

void ServerRegistry::reject(const BackendServerId &id)
{
    if (m_entries.contains(id)) {
        drop(id);
    }
}

void ServerRegistry::drop(const BackendServerId &id)
{
    m_entries.erase(id);
    m_changes.removed.push_back(id);
}

void ServerRegistry::onStoreUnavailable()
{
    m_hasContact = false;
}

void ServerRegistry::onStoreAvailable(SteadyTime now)
{
    if (!m_hasContact) {
        m_hasContact = true;
        m_graceEndsAt = now + m_options.reregistrationGrace;
    }
}

void ServerRegistry::removeExpired(SteadyTime now)
{
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        if (entry->second.expiresAt <= now) {
            m_changes.removed.push_back(entry->first);
            entry = m_entries.erase(entry);
        } else {
            ++entry;
        }
    }
}

ServerChanges ServerRegistry::takeChanges()
{
    return std::exchange(m_changes, {});
}

std::size_t ServerRegistry::size() const
{
    return m_entries.size();
}

bool ServerRegistry::isInGrace(SteadyTime now) const
{
    return now < m_graceEndsAt;
}

} // namespace Cardamomhill
