#pragma once

#include "core/identifiers.h"
#include "traffic/apikeyowner.h"
#include "traffic/callerlimits.h"
#include "traffic/route.h"
#include "traffic/trafficservice.h"
#include "traffic/urgency.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Cardamomhill
{

/// One version of the routes, services, API keys and limits. Immutable, so that threads share it without locks.
class TrafficConfiguration
{
public:
    std::uint64_t version() const;
    const CallerLimits &limits() const;

    /// The route for the host name whose prefix of the path is the longest; nullptr if there is none.
    const Route *route(std::string_view hostName, std::string_view path) const;
    const TrafficService *service(const ServiceId &id) const;
    const std::unordered_map<ServiceId, TrafficService> &services() const;

    /// The urgency of a call to a service; nothing if the routes of the service are equally urgent.
    /// @param owner nullptr if the call needs no key
    std::optional<Urgency> urgency(const ServiceId &service, const Route &route, const ApiKeyOwner *owner) const;

    /// Whether calls need an API key, except those to public routes.
    bool needsKeys() const;
    /// Returns nullptr for an unknown key.
    const ApiKeyOwner *ownerOf(const std::string &key) const;

    std::size_t routeCount() const;

private:
    friend class TrafficConfigurationBuilder;

    std::uint64_t m_version = 0;
    CallerLimits m_limits;
    std::vector<Route> m_routes;
    /// Indices into `m_routes` by host name and path prefix.
    std::unordered_map<std::string, std::size_t> m_routeIndices;
    std::unordered_map<ServiceId, TrafficService> m_services;
    std::unordered_map<ServiceId, std::set<std::uint32_t>> m_routePriorities;
    std::set<std::uint32_t> m_organisationPriorities;
    std::unordered_map<std::string, ApiKeyOwner> m_apiKeyOwners;
    bool m_needsKeys = false;
};

} // namespace Cardamomhill
