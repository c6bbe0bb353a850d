#include "configcheck/configurationdocument.h"

#include <algorithm>

namespace Cardamomhill
{

std::uint64_t ConfigurationDocument::version() const
{
    return m_version;
}

const std::vector<ConfigurationDocument::RouteEntry> &ConfigurationDocument::routes() const
{
    return m_routes;
}

const std::vector<ConfigurationDocument::ServiceEntry> &ConfigurationDocument::services() const
{
    return m_services;
}

const std::vector<ConfigurationDocument::OrganisationEntry> &ConfigurationDocument::organisations() const
{
    return m_organisations;
}

const DocumentEntry<CallerLimits> &ConfigurationDocument::limits() const
{
    return m_limits;
}

bool ConfigurationDocument::needsKeys() const
{
    return m_needsKeys;
}

const Findings &ConfigurationDocument::problems() const
{
    return m_problems;
}

bool ConfigurationDocument::isRejected() const
{
    return hasProblem(FindingKind::FieldRejected);
}

bool ConfigurationDocument::isComplete() const
{
    return !hasProblem(FindingKind::ProblemsOmitted);
}

bool ConfigurationDocument::hasProblem(FindingKind kind) const
{
    return std::any_of(
        m_problems.begin(), m_problems.end(), [kind](const Finding &problem) { return problem.kind == kind; });
}

} // namespace Cardamomhill
