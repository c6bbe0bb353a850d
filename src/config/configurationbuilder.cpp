#include "config/configurationbuilder.h"

#include "config/backendserver.h"
#include "config/organisation.h"
#include "config/profile.h"
#include "config/service.h"
#include "objectstore/localobjectstore.h"
#include "objectstore/versionedobject.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

template<class Map, class Parsed, class Id>
ConfigErrors parseAndStore(Map &map,
                           const Id &id,
                           const VersionedObject &object,
                           Parsed (*parse)(const std::string &, std::string_view))
{
    if (object.retired) {
        map.erase(id);
        return {};
    }
    auto parsed = parse(object.key.name, object.value);
    if (parsed.has_error()) {
        return parsed.error();
    }
    using Value = std::remove_cv_t<std::remove_reference_t<decltype(parsed.value())>>;
    map[id] = std::make_shared<const Value>(std::move(parsed.value()));
    return {};
}

} // namespace

ConfigErrors ConfigurationBuilder::apply(const VersionedObject &object)
{
    using Handler = ConfigErrors (ConfigurationBuilder::*)(const VersionedObject &);
    static const std::map<std::string, Handler> Handlers{
        {"backendservers", &ConfigurationBuilder::applyBackendServer},
        {"organisations", &ConfigurationBuilder::applyOrganisation},
        {"profiles", &ConfigurationBuilder::applyProfile},
        {"services", &ConfigurationBuilder::applyService},
        {"slots", &ConfigurationBuilder::applySlotTable},
    };
    const auto handler = Handlers.find(object.key.kind);
    if (handler == Handlers.end()) {
        return {};
    }
    auto &version = m_versions[LocalObjectStore::keyHash(object.key)];
    if (object.version <= version) {
        return {};
    }
    version = object.version;
    m_configuration.m_version = std::max(m_configuration.m_version, object.version);
    return (this->*handler->second)(object);
}

std::shared_ptr<const Configuration> ConfigurationBuilder::snapshot() const
{
    return std::make_shared<const Configuration>(m_configuration);
}

ConfigErrors ConfigurationBuilder::applyProfile(const VersionedObject &object)
{
    return parseAndStore(m_configuration.m_profiles, ProfileId(object.key.name), object, &parseProfile);
}

ConfigErrors ConfigurationBuilder::applyService(const VersionedObject &object)
{
    return parseAndStore(m_configuration.m_services, ServiceId(object.key.name), object, &parseService);
}

ConfigErrors ConfigurationBuilder::applyBackendServer(const VersionedObject &object)
{
    return parseAndStore(
        m_configuration.m_backendServers, BackendServerId(object.key.name), object, &parseBackendServer);
}

ConfigErrors ConfigurationBuilder::applySlotTable(const VersionedObject &object)
{
    const ServiceId service(object.key.name);
    if (object.retired) {
        m_configuration.m_slotTables.erase(service);
    } else {
        m_configuration.m_slotTables[service] = std::make_shared<const std::string>(object.value);
    }
    return {};
}

ConfigErrors ConfigurationBuilder::applyOrganisation(const VersionedObject &object)
{
    const OrganisationId id(object.key.name);
    if (object.retired) {
        removeOrganisation(id);
        return {};
    }
    auto parsed = parseOrganisation(object.key.name, object.value);
    if (parsed.has_error()) {
        return parsed.error();
    }
    removeOrganisation(id);
    const auto organisation = std::make_shared<const Organisation>(std::move(parsed.value()));
    m_configuration.m_organisations.assign(id, organisation);
    for (const auto &hash : organisation->tokenHashes) {
        m_configuration.m_organisationsByToken.assign(hash, organisation);
    }
    return {};
}

void ConfigurationBuilder::removeOrganisation(const OrganisationId &id)
{
    const auto *found = m_configuration.m_organisations.find(id);
    if (found == nullptr) {
        return;
    }
    const auto organisation = *found;
    for (const auto &hash : organisation->tokenHashes) {
        m_configuration.m_organisationsByToken.erase(hash);
    }
    m_configuration.m_organisations.erase(id);
}

ConfigErrors validateObject(const std::string &kind, const std::string &name, std::string_view json)
{
    const auto errorsOf = [](const auto &parsed) { return parsed.has_error() ? parsed.error() : ConfigErrors{}; };
    if (kind == "profiles") {
        return errorsOf(parseProfile(name, json));
    }
    if (kind == "services") {
        return errorsOf(parseService(name, json));
    }
    if (kind == "organisations") {
        return errorsOf(parseOrganisation(name, json));
    }
    if (kind == "backendservers") {
        return errorsOf(parseBackendServer(name, json));
    }
    return {{ConfigErrorCode::UnknownKind, kind + "/" + name, "", "profiles, services, organisations, backendservers"}};
}

} // namespace Cardamomhill
