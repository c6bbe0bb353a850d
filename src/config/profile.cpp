#include "config/profile.h"

#include "config/objectreader.h"

namespace Cardamomhill
{

namespace
{

constexpr std::int64_t MaxTimeoutMilliseconds = 24 * 3600 * 1000;
constexpr double MaxRetryRatio = 1.0;
constexpr double MaxWeight = 1000.0;

} // namespace

Result<Profile, ConfigErrors> parseProfile(const std::string &name, std::string_view json)
{
    internal::ObjectReader reader("profiles", name, json);
    Profile profile;
    profile.id = ProfileId(name);
    profile.trafficClass = reader.required<TrafficClass>("class");
    profile.timeout = Milliseconds(reader.integer("timeout_ms", profile.timeout.count(), 1, MaxTimeoutMilliseconds));
    profile.retryRatio = reader.number("retry_ratio", profile.retryRatio, 0.0, MaxRetryRatio);
    profile.prefixAffinity = reader.boolean("prefix_affinity", profile.prefixAffinity);
    profile.skewWeight = reader.number("skew_weight", profile.skewWeight, 0.0, MaxWeight);
    profile.rebalancingCostWeight
        = reader.number("rebalancing_cost_weight", profile.rebalancingCostWeight, 0.0, MaxWeight);
    return reader.finish(std::move(profile));
}

} // namespace Cardamomhill
