#include "settings/entrysettings.h"

#include "settings/settingsreader.h"

namespace Cardamomhill
{

namespace
{

constexpr std::int64_t MaxTrafficThreads = 64;
constexpr std::int64_t MaxConcurrency = 100'000;

} // namespace

Result<EntrySettings, SettingsErrors> readEntrySettings(const std::string &file)
{
    internal::SettingsReader reader(file);
    EntrySettings settings;
    settings.host = HostId(reader.text("host"));
    settings.failureDomain = FailureDomainId(reader.text("failure_domain"));
    settings.listen = reader.endpoint("listen");
    settings.operatorListen = reader.endpoint("operator_listen");
    settings.controlListen = reader.endpoint("control_listen");
    settings.platform = reader.endpoint("platform");
    settings.seeds = reader.endpoints("seeds");
    settings.trafficThreads = static_cast<std::uint32_t>(reader.integer("traffic_threads", 1, 1, MaxTrafficThreads));
    settings.concurrency
        = static_cast<std::uint32_t>(reader.integer("concurrency", settings.concurrency, 1, MaxConcurrency));
    settings.memoryMegabytes = reader.memoryMegabytes(settings.memoryMegabytes);
    settings.drainGrace = reader.drainGrace(settings.drainGrace);
    settings.terminationGrace = reader.terminationGrace(settings.terminationGrace);
    settings.logLevel = reader.logLevel("log_level");
    return reader.finish(std::move(settings));
}

} // namespace Cardamomhill
