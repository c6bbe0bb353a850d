#include "settings/agentsettings.h"

#include "settings/settingsreader.h"

namespace Cardamomhill
{

Result<AgentSettings, SettingsErrors> readAgentSettings(const std::string &file)
{
    internal::SettingsReader reader(file);
    AgentSettings settings;
    settings.backendServer = BackendServerId(reader.text("backend_server"));
    settings.failureDomain = FailureDomainId(reader.text("failure_domain"));
    settings.listen = reader.endpoint("listen");
    settings.operatorListen = reader.endpoint("operator_listen");
    settings.controlListen = reader.endpoint("control_listen");
    settings.engine = reader.endpoint("engine");
    settings.platform = reader.endpoint("platform");
    settings.seeds = reader.endpoints("seeds");
    settings.terminationGrace = reader.terminationGrace(settings.terminationGrace);
    settings.logLevel = reader.logLevel("log_level");
    return reader.finish(std::move(settings));
}

} // namespace Cardamomhill
