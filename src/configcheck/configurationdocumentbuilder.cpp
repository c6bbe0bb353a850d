#include "configcheck/configurationdocumentbuilder.h"

#include <utility>

namespace Cardamomhill
{

ConfigurationDocumentBuilder &ConfigurationDocumentBuilder::setVersion(std::uint64_t version)
{
    m_document.m_version = version;
    return *this;
}

ConfigurationDocumentBuilder &ConfigurationDocumentBuilder::setLimits(DocumentEntry<CallerLimits> limits)
{
    m_document.m_limits = std::move(limits);
    return *this;
}

ConfigurationDocumentBuilder &ConfigurationDocumentBuilder::addRoute(ConfigurationDocument::RouteEntry route)
{
    m_document.m_routes.push_back(std::move(route));
    return *this;
}

ConfigurationDocumentBuilder &ConfigurationDocumentBuilder::addService(ConfigurationDocument::ServiceEntry service)
{
    m_document.m_services.push_back(std::move(service));
    return *this;
}

ConfigurationDocumentBuilder &ConfigurationDocumentBuilder::requireKeys()
{
    m_document.m_needsKeys = true;
    return *this;
}

ConfigurationDocumentBuilder &
ConfigurationDocumentBuilder::addOrganisation(ConfigurationDocument::OrganisationEntry organisation)
{
    m_document.m_organisations.push_back(std::move(organisation));
    return *this;
}

ConfigurationDocumentBuilder &ConfigurationDocumentBuilder::setProblems(Findings problems)
{
    m_document.m_problems = std::move(problems);
    return *this;
}

ConfigurationDocument ConfigurationDocumentBuilder::build()
{
    return std::move(m_document);
}

} // namespace Cardamomhill
