#pragma once

#include "objectstore/versionedobject.h"

#include <cstddef>
#include <vector>

namespace Cardamomhill
{

class Configuration;
class ConfigurationBuilder;

/// Applies objects that came into force; mistakes in them are logged.
void applyObjects(ConfigurationBuilder &builder, const std::vector<VersionedObject> &objects);

/// Writes the log line of a new configuration.
void logInForce(const Configuration &configuration, std::size_t changedObjects);

} // namespace Cardamomhill
