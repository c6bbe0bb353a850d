#pragma once

#include "objectstore/versionedobject.h"

#include <cstddef>
#include <vector>

namespace Cardamomhill
{

class Configuration;
class ConfigurationBuilder;

/// Applies objects that came into force and logs the errors in them.
void applyObjects(ConfigurationBuilder &builder, const std::vector<VersionedObject> &objects);

/// Logs that a new configuration is in force.
void logConfiguration(const Configuration &configuration, std::size_t changedObjects);

} // namespace Cardamomhill
