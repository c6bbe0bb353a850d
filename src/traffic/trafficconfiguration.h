#pragma once

#include "core/identifiers.h"
#include "traffic/callerlimits.h"
#include "traffic/keyholder.h"
#include "traffic/route.h"
#include "traffic/trafficservice.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Cardamomhill
{

/// One version of the routes, services, keys and limits. Immutable; threads share it without locks.
class TrafficConfiguration
{
public:
    std::uint64_t version() const;
    const CallerLimits &limits() const;

    /// The route of that host name with the longest prefix of the path, or nothing.
    const Route *route(std::string_view hostName, std::string_view path) const;
    const TrafficService *service(const ServiceId &id) const;
    const std::unordered_map<ServiceId, TrafficService> &services() const;

    /// Whether calls to routes that are not public need a key.
    bool needsKeys() const;
    const KeyHolder *holderOf(const std::string &key) const;

    std::size_t routeCount() const;

private:
    friend class TrafficConfigurationBuilder;

    std::uint64_t m_version = 0;
    CallerLimits m_limits;
    std::vector<Route> m_routes;
    /// Positions in `m_routes` by host name and prefix.
    std::unordered_map<std::string, std::size_t> m_routesByPlace;
    std::unordered_map<ServiceId, TrafficService> m_services;
    std::unordered_map<std::string, KeyHolder> m_holders;
    bool m_needsKeys = false;
};

} // namespace Cardamomhill
