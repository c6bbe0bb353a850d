#pragma once

#include "configcheck/documententry.h"
#include "configcheck/documentorganisation.h"
#include "configcheck/documentroute.h"
#include "configcheck/finding.h"
#include "traffic/callerlimits.h"
#include "traffic/trafficservice.h"

#include <cstdint>
#include <vector>

namespace Cardamomhill
{

/// A configuration document in the order in which it was written, entries that a gateway would replace or never use
/// included.
class ConfigurationDocument
{
public:
    using RouteEntry = DocumentEntry<DocumentRoute>;
    using ServiceEntry = DocumentEntry<TrafficService>;
    using OrganisationEntry = DocumentEntry<DocumentOrganisation>;

    std::uint64_t version() const;
    const std::vector<RouteEntry> &routes() const;
    const std::vector<ServiceEntry> &services() const;
    const std::vector<OrganisationEntry> &organisations() const;
    /// Those of the document, or the defaults.
    const DocumentEntry<CallerLimits> &limits() const;
    /// Whether calls need an API key, except those to public routes.
    bool needsKeys() const;

    /// What the parser rejected or ignored.
    const Findings &problems() const;
    /// Whether a gateway rejects the document as a whole.
    bool isRejected() const;
    /// Whether the document was read to its end. Reading stops after many problems.
    bool isComplete() const;

private:
    friend class ConfigurationDocumentBuilder;

    bool hasProblem(FindingKind kind) const;

    std::uint64_t m_version = 0;
    std::vector<RouteEntry> m_routes;
    std::vector<ServiceEntry> m_services;
    std::vector<OrganisationEntry> m_organisations;
    DocumentEntry<CallerLimits> m_limits;
    bool m_needsKeys = false;
    Findings m_problems;
};

} // namespace Cardamomhill
