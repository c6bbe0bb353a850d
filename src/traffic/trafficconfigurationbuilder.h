#pragma once

#include "traffic/trafficconfiguration.h"

namespace Cardamomhill
{

/// Collects the parts of one version of the configuration.
class TrafficConfigurationBuilder
{
public:
    TrafficConfigurationBuilder &setVersion(std::uint64_t version);
    TrafficConfigurationBuilder &setLimits(const CallerLimits &limits);
    TrafficConfigurationBuilder &addRoute(Route route);
    TrafficConfigurationBuilder &addService(TrafficService service);
    /// From now on calls need a key, even if no organisation holds one.
    TrafficConfigurationBuilder &requireKeys();
    TrafficConfigurationBuilder &addKey(std::string key, KeyHolder holder);

    std::shared_ptr<const TrafficConfiguration> build();

private:
    TrafficConfiguration m_configuration;
};

} // namespace Cardamomhill
