#include "gateway/gatewaysettings.h"

#include "settings/settingsreader.h"

namespace Cardamomhill
{

namespace
{

constexpr std::int64_t MaxRetrySlack = 1'000'000;
constexpr double MaxRetryRatio = 10;
constexpr double MinRetryWindowSeconds = 1;
constexpr double MaxRetryWindowSeconds = 3600;
constexpr double MinLinkMegabitsPerSecond = 0.1;
constexpr double MaxLinkMegabitsPerSecond = 1'000'000;
constexpr double MaxColdOvershoot = 1000;
constexpr double MaxColdSlack = 1'000'000;
constexpr std::int64_t MaxEvacuationLimitMs = 3'600'000;
constexpr std::uint64_t MaxEngineStallMs = 60'000;
constexpr std::int64_t MinDescriptors = 256;
constexpr std::int64_t MaxDescriptors = 1'000'000;

} // namespace

Result<GatewaySettings, SettingsErrors> readGatewaySettings(const std::string &file)
{
    internal::SettingsReader reader(file);
    GatewaySettings settings;
    settings.host = HostId(reader.text("host"));
    settings.failureDomain = FailureDomainId(reader.text("failure_domain"));
    settings.listen = reader.endpoint("listen");
    settings.operatorListen = reader.endpoint("operator_listen");
    settings.peerListen = reader.endpoint("peer_listen");
    settings.platform = reader.endpoint("platform");
    settings.retrySlack
        = static_cast<std::uint32_t>(reader.integer("retry_slack", settings.retrySlack, 0, MaxRetrySlack));
    settings.retryRatio = reader.decimal("retry_ratio", settings.retryRatio, 0, MaxRetryRatio);
    settings.retryWindow
        = reader.seconds("retry_window_s", settings.retryWindow, MinRetryWindowSeconds, MaxRetryWindowSeconds);
    settings.drainGrace = reader.drainGrace(settings.drainGrace);
    settings.terminationGrace = reader.terminationGrace(settings.terminationGrace);
    settings.coordinatesGroups = reader.boolean("coordinate_groups", settings.coordinatesGroups);
    settings.linkMegabitsPerSecond = reader.decimal(
        "link_megabits_per_second", settings.linkMegabitsPerSecond, MinLinkMegabitsPerSecond, MaxLinkMegabitsPerSecond);
    settings.coldOvershoot = reader.optionalDecimal("cold_overshoot", 0, MaxColdOvershoot);
    settings.coldSlack = reader.optionalDecimal("cold_slack", 0, MaxColdSlack);
    settings.selectsGroups = reader.boolean("select_groups", settings.selectsGroups);
    settings.promptRetention = reader.named("prompt_retention", settings.promptRetention);
    const Milliseconds engineStall(reader.integer("engine_stall_ms", 0, 1, MaxEngineStallMs));
    if (engineStall > Milliseconds(0)) {
        settings.engineStall = engineStall;
    }
    const Milliseconds evacuationLimit(reader.integer("evacuation_limit_ms", 0, 1, MaxEvacuationLimitMs));
    if (evacuationLimit > Milliseconds(0)) {
        settings.evacuationLimit = evacuationLimit;
    }
    settings.memoryMegabytes = reader.memoryMegabytes(settings.memoryMegabytes);
    settings.maxDescriptors = static_cast<std::uint32_t>(
        reader.integer("max_descriptors", settings.maxDescriptors, MinDescriptors, MaxDescriptors));
    settings.logLevel = reader.logLevel("log_level");
    return reader.finish(std::move(settings));
}

} // namespace Cardamomhill
