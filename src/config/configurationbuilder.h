#pragma once

#include "config/configerror.h"
#include "config/configuration.h"

#include <memory>
#include <unordered_map>

namespace Cardamomhill
{

struct VersionedObject;

/// Turns platform objects into the configuration in force, one changed object at a time.
class ConfigurationBuilder
{
public:
    /// Applies an object if it is newer than the one in force. An object with mistakes leaves the earlier valid one
    /// in force and returns its mistakes; objects of other kinds are ignored.
    ConfigErrors apply(const VersionedObject &object);

    /// The view as of now. Later calls of apply() don't change it.
    std::shared_ptr<const Configuration> snapshot() const;

private:
    ConfigErrors applyProfile(const VersionedObject &object);
    ConfigErrors applyService(const VersionedObject &object);
    ConfigErrors applyOrganisation(const VersionedObject &object);
    ConfigErrors applyBackendServer(const VersionedObject &object);
    ConfigErrors applySlotTable(const VersionedObject &object);
    void removeOrganisation(const OrganisationId &id);

    Configuration m_configuration;
    /// By the hash of the key; names would take three times the memory.
    std::unordered_map<std::uint64_t, std::uint64_t> m_versions;
};

/// Checks the value of one object of any configuration kind, as the operator commands do before they write it.
ConfigErrors checkObject(const std::string &kind, const std::string &name, std::string_view json);

} // namespace Cardamomhill
