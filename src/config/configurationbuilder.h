#pragma once

#include "config/configerror.h"
#include "config/configuration.h"

#include <memory>
#include <unordered_map>

namespace Cardamomhill
{

struct VersionedObject;

/// Builds the configuration in force from platform objects, one changed object at a time.
class ConfigurationBuilder
{
public:
    /// Applies an object if it is newer than the one in force. For an invalid object its errors are returned, and the
    /// last valid one stays in force. Objects of other kinds are ignored.
    ConfigErrors apply(const VersionedObject &object);

    /// The current configuration. Later calls of apply() do not change it.
    std::shared_ptr<const Configuration> snapshot() const;

private:
    ConfigErrors applyProfile(const VersionedObject &object);
    ConfigErrors applyService(const VersionedObject &object);
    ConfigErrors applyOrganisation(const VersionedObject &object);
    ConfigErrors applyBackendServer(const VersionedObject &object);
    ConfigErrors applySlotTable(const VersionedObject &object);
    void removeOrganisation(const OrganisationId &id);

    Configuration m_configuration;
    /// Version of each object, by the hash of its key: names as keys would take three times the memory.
    std::unordered_map<std::uint64_t, std::uint64_t> m_versions;
};

/// Validates an object of any kind except slot tables, as the operator commands do before they write it.
ConfigErrors validateObject(const std::string &kind, const std::string &name, std::string_view json);

} // namespace Cardamomhill
