#pragma once

#include "configcheck/configurationdocument.h"

namespace Cardamomhill
{

/// Builds a document from what a codec reads of its text.
class ConfigurationDocumentBuilder
{
public:
    ConfigurationDocumentBuilder &setVersion(std::uint64_t version);
    ConfigurationDocumentBuilder &setLimits(DocumentEntry<CallerLimits> limits);
    ConfigurationDocumentBuilder &addRoute(ConfigurationDocument::RouteEntry route);
    ConfigurationDocumentBuilder &addService(ConfigurationDocument::ServiceEntry service);
    /// Makes calls need an API key, even if no organisation has one.
    ConfigurationDocumentBuilder &requireKeys();
    ConfigurationDocumentBuilder &addOrganisation(ConfigurationDocument::OrganisationEntry organisation);
    ConfigurationDocumentBuilder &setProblems(Findings problems);

    ConfigurationDocument build();

private:
    ConfigurationDocument m_document;
};

} // namespace Cardamomhill
