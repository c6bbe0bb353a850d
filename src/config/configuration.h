#pragma once

#include "config/copyonwritemap.h"
#include "core/identifiers.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Cardamomhill
{

struct BackendServer;
struct Organisation;
struct Profile;
struct Service;

/// An immutable snapshot of the configuration in force. Traffic threads share it without locks.
class Configuration
{
public:
    /// The service with this id if its profile exists as well; otherwise null.
    const Service *service(const ServiceId &id) const;
    const Profile *profile(const ProfileId &id) const;
    const Organisation *organisation(const OrganisationId &id) const;
    const BackendServer *backendServer(const BackendServerId &id) const;

    /// The organisation that a bearer token belongs to, or null.
    const Organisation *organisationByToken(std::string_view token) const;

    std::vector<const BackendServer *> backendServersOf(const ServiceId &id) const;
    std::vector<const BackendServer *> backendServers() const;

    /// The slot table of a service as JSON text, or null.
    const std::string *slotTable(const ServiceId &id) const;

    /// The highest platform version among the objects in force.
    std::uint64_t version() const;

    std::size_t organisationCount() const;
    std::size_t serviceCount() const;

private:
    friend class ConfigurationBuilder;

    std::map<ServiceId, std::shared_ptr<const Service>> m_services;
    std::map<ProfileId, std::shared_ptr<const Profile>> m_profiles;
    internal::CopyOnWriteMap<OrganisationId, std::shared_ptr<const Organisation>> m_organisations;
    std::map<BackendServerId, std::shared_ptr<const BackendServer>> m_backendServers;
    internal::CopyOnWriteMap<std::string, std::shared_ptr<const Organisation>> m_organisationsByToken;
    std::map<ServiceId, std::shared_ptr<const std::string>> m_slotTables;
    std::uint64_t m_version = 0;
};

} // namespace Cardamomhill
