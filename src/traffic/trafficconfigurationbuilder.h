#pragma once

#include "traffic/trafficconfiguration.h"

namespace Cardamomhill
{

/// Builds one version of the configuration.
class TrafficConfigurationBuilder
{
public:
    TrafficConfigurationBuilder &setVersion(std::uint64_t version);
    TrafficConfigurationBuilder &setLimits(const CallerLimits &limits);
    TrafficConfigurationBuilder &addRoute(Route route);
    TrafficConfigurationBuilder &addService(TrafficService service);
    /// Makes calls need an API key, even if no organisation has one.
    TrafficConfigurationBuilder &requireKeys();
    TrafficConfigurationBuilder &addKey(std::string key, ApiKeyOwner owner);

    std::shared_ptr<const TrafficConfiguration> build();

private:
    TrafficConfiguration m_configuration;
};

} // namespace Cardamomhill
