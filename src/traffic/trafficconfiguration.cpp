#include "traffic/trafficconfiguration.h"

#include "traffic/trafficconfigurationbuilder.h"

namespace Cardamomhill
{

namespace
{

/// Key of a route in the index. The line feed separates the parts, since neither can contain one.
std::string routeKey(std::string_view hostName, std::string_view prefix)
{
    std::string key(hostName);
    key += '\n';
    key += prefix;
    return key;
}

} // namespace

std::uint64_t TrafficConfiguration::version() const
{
    return m_version;
}

const CallerLimits &TrafficConfiguration::limits() const
{
    return m_limits;
}

const Route *TrafficConfiguration::route(std::string_view hostName, std::string_view path) const
{
    auto end = path.rfind('/');
    while (end != std::string_view::npos) {
        const auto found = m_routeIndices.find(routeKey(hostName, path.substr(0, end + 1)));
        if (found != m_routeIndices.end()) {
            return &m_routes[found->second];
        }
        if (end == 0) {
            break;
        }
        end = path.rfind('/', end - 1);
    }
    return nullptr;
}

const TrafficService *TrafficConfiguration::service(const ServiceId &id) const
{
    const auto found = m_services.find(id);
    return found == m_services.end() ? nullptr : &found->second;
}

const std::unordered_map<ServiceId, TrafficService> &TrafficConfiguration::services() const
{
    return m_services;
}

std::optional<Urgency>
TrafficConfiguration::urgency(const ServiceId &service, const Route &route, const ApiKeyOwner *owner) const
{
    const auto found = m_routePriorities.find(service);
    if (found == m_routePriorities.end() || found->second.size() < 2) {
        return std::nullopt;
    }
    const auto rankIn = [](const std::set<std::uint32_t> &priorities, std::uint32_t priority) {
        return static_cast<std::uint32_t>(std::distance(priorities.begin(), priorities.lower_bound(priority)));
    };
    const auto organisationRanks = static_cast<std::uint32_t>(m_organisationPriorities.size());
    Urgency urgency;
    urgency.routeRank = rankIn(found->second, route.priority);
    urgency.organisationRank
        = owner != nullptr && owner->priority ? rankIn(m_organisationPriorities, *owner->priority) : organisationRanks;
    urgency.lessUrgentOrganisations
        = organisationRanks > urgency.organisationRank ? organisationRanks - 1 - urgency.organisationRank : 0;
    return urgency;
}

bool TrafficConfiguration::needsKeys() const
{
    return m_needsKeys;
}

const ApiKeyOwner *TrafficConfiguration::ownerOf(const std::string &key) const
{
    const auto found = m_apiKeyOwners.find(key);
    return found == m_apiKeyOwners.end() ? nullptr : &found->second;
}

std::size_t TrafficConfiguration::routeCount() const
{
    return m_routes.size();
}

TrafficConfigurationBuilder &TrafficConfigurationBuilder::setVersion(std::uint64_t version)
{
    m_configuration.m_version = version;
    return *this;
}

TrafficConfigurationBuilder &TrafficConfigurationBuilder::setLimits(const CallerLimits &limits)
{
    m_configuration.m_limits = limits;
    return *this;
}

TrafficConfigurationBuilder &TrafficConfigurationBuilder::addRoute(Route route)
{
    auto &routes = m_configuration.m_routes;
    m_configuration.m_routeIndices[routeKey(route.hostName, route.pathPrefix)] = routes.size();
    for (const auto &service : route.services) {
        m_configuration.m_routePriorities[service.service].insert(route.priority);
    }
    routes.push_back(std::move(route));
    return *this;
}

TrafficConfigurationBuilder &TrafficConfigurationBuilder::addService(TrafficService service)
{
    const auto id = service.id;
    m_configuration.m_services[id] = std::move(service);
    return *this;
}

TrafficConfigurationBuilder &TrafficConfigurationBuilder::requireKeys()
{
    m_configuration.m_needsKeys = true;
    return *this;
}

TrafficConfigurationBuilder &TrafficConfigurationBuilder::addKey(std::string key, ApiKeyOwner owner)
{
    if (owner.priority) {
        m_configuration.m_organisationPriorities.insert(*owner.priority);
    }
    m_configuration.m_apiKeyOwners[std::move(key)] = std::move(owner);
    return *this;
}

std::shared_ptr<const TrafficConfiguration> TrafficConfigurationBuilder::build()
{
    return std::make_shared<const TrafficConfiguration>(std::move(m_configuration));
}

} // namespace Cardamomhill
