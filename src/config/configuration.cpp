#include "config/configuration.h"

#include "config/backendserver.h"
#include "config/organisation.h"
#include "config/profile.h"
#include "config/service.h"
#include "config/tokenhash.h"

namespace Cardamomhill
{

namespace
{

template<class Map, class Key>
auto findValue(const Map &map, const Key &key) -> decltype(map.find(key)->second.get())
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : found->second.get();
}

} // namespace

const Service *Configuration::service(const ServiceId &id) const
{
    const auto *found = findValue(m_services, id);
    // A service may be received before its profile, since objects are distributed independently.
    return found != nullptr && profile(found->profile) != nullptr ? found : nullptr;
}

const Profile *Configuration::profile(const ProfileId &id) const
{
    return findValue(m_profiles, id);
}

const Organisation *Configuration::organisation(const OrganisationId &id) const
{
    const auto *found = m_organisations.find(id);
    return found == nullptr ? nullptr : found->get();
}

const BackendServer *Configuration::backendServer(const BackendServerId &id) const
{
    return findValue(m_backendServers, id);
}

const Organisation *Configuration::organisationByToken(std::string_view token) const
{
    const auto *found = m_organisationsByToken.find(tokenHash(token));
    return found == nullptr ? nullptr : found->get();
}

std::vector<const BackendServer *> Configuration::backendServersOf(const ServiceId &id) const
{
    std::vector<const BackendServer *> servers;
    for (const auto &[serverId, server] : m_backendServers) {
        if (server->service == id) {
            servers.push_back(server.get());
        }
    }
    return servers;
}

std::vector<const BackendServer *> Configuration::backendServers() const
{
    std::vector<const BackendServer *> servers;
    for (const auto &[serverId, server] : m_backendServers) {
        servers.push_back(server.get());
    }
    return servers;
}

const std::string *Configuration::slotTable(const ServiceId &id) const
{
    return findValue(m_slotTables, id);
}

std::uint64_t Configuration::version() const
{
    return m_version;
}

std::size_t Configuration::organisationCount() const
{
    return m_organisations.size();
}

std::size_t Configuration::serviceCount() const
{
    return m_services.size();
}

} // namespace Cardamomhill
