#include "control/configurationupdate.h"

#include "config/configuration.h"
#include "config/configurationbuilder.h"
#include "logging/logging.h"

namespace Cardamomhill
{

void applyObjects(ConfigurationBuilder &builder, const std::vector<VersionedObject> &objects)
{
    for (const auto &object : objects) {
        for (const auto &error : builder.apply(object)) {
            logEvent(LogLevel::Error,
                     "configuration-object-refused",
                     {{"version", object.version}, {"error", error.message()}});
        }
    }
}

void logConfiguration(const Configuration &configuration, std::size_t changedObjects)
{
    logEvent(
        LogLevel::Info, "configuration-in-force", {{"version", configuration.version()}, {"changed", changedObjects}});
}

} // namespace Cardamomhill
