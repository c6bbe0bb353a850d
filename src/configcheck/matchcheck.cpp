#include "configcheck/matchcheck.h"

#include "configcheck/configurationdocument.h"
#include "configcheck/findinglist.h"

#include <algorithm>
#include <initializer_list>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace Cardamomhill::internal
{

namespace
{

/// Gateways compare host names in lower case and without the port.
bool canMatchHostName(const std::string &hostName)
{
    return std::none_of(hostName.begin(), hostName.end(), [](char character) {
        return (character >= 'A' && character <= 'Z') || character == ':';
    });
}

/// Gateways look up the parts of a call's path that end with a slash, without the query.
bool canMatchPath(const std::string &prefix)
{
    return prefix.starts_with('/') && prefix.ends_with('/') && prefix.find('?') == std::string::npos;
}

void addCoveredRoutes(FindingList &findings, const ConfigurationDocument &document)
{
    std::map<std::pair<std::string, std::string>, std::string> laterPaths;
    std::vector<std::pair<std::string, std::string>> covered;
    const auto &routes = document.routes();
    for (auto entry = routes.rbegin(); entry != routes.rend(); ++entry) {
        // A later route with the same host name and prefix replaces this one in a gateway. More specific prefixes
        // never cover a prefix, since they leave out the calls to the prefix itself.
        const auto [later, isLast]
            = laterPaths.emplace(std::pair(entry->value.route.hostName, entry->value.route.pathPrefix), entry->path);
        if (entry->isSound && !isLast) {
            covered.emplace_back(entry->path, later->second);
        }
    }
    for (auto entry = covered.rbegin(); entry != covered.rend(); ++entry) {
        findings.add(FindingKind::RouteCovered, entry->first, OtherEntry{entry->second});
    }
}

void addUnmatchedRoutes(FindingList &findings, const ConfigurationDocument &document)
{
    for (const auto &entry : document.routes()) {
        const auto &route = entry.value.route;
        if (entry.isSound && !canMatchHostName(route.hostName)) {
            findings.add(FindingKind::HostNameUnmatched,
                         findings.pathOf(entry.path, ConfigurationField::RouteHostName),
                         NamedEntry{route.hostName});
        }
        if (entry.isSound && !canMatchPath(route.pathPrefix)) {
            findings.add(FindingKind::PrefixUnmatched,
                         findings.pathOf(entry.path, ConfigurationField::RoutePathPrefix),
                         NamedEntry{route.pathPrefix});
        }
    }
}

/// Whether one of the fields could not be read somewhere in an array, or a whole element that has them.
bool hasUnreadable(const FindingList &findings,
                   const ConfigurationDocument &document,
                   ConfigurationField array,
                   std::initializer_list<ConfigurationField> fields)
{
    const auto arrayPath = findings.pathOf("", array);
    const auto isUnreadable = [&](const Finding &problem) {
        const auto &path = problem.path;
        const auto endsWithField
            = [&](ConfigurationField field) { return path.ends_with("." + findings.pathOf("", field)); };
        return problem.kind == FindingKind::FieldRejected && path.starts_with(arrayPath)
            && (path == arrayPath || path.ends_with(']') || std::any_of(fields.begin(), fields.end(), endsWithField));
    };
    return std::any_of(document.problems().begin(), document.problems().end(), isUnreadable);
}

/// The services that a document names.
class KnownServices
{
public:
    KnownServices(const FindingList &findings, const ConfigurationDocument &document)
        : m_hasUnreadableName(
            hasUnreadable(findings, document, ConfigurationField::Services, {ConfigurationField::ServiceName}))
    {
        for (const auto &entry : document.services()) {
            m_lastPaths[entry.value.id] = entry.path;
        }
    }

    /// An entry whose name could not be read may be any service.
    bool isMissing(const ServiceId &id) const
    {
        return !m_hasUnreadableName && !m_lastPaths.contains(id);
    }

    /// The path of the last entry of that name, which replaces the others in a gateway.
    const std::string &lastPath(const ServiceId &id) const
    {
        return m_lastPaths.at(id);
    }

private:
    std::map<ServiceId, std::string> m_lastPaths;
    bool m_hasUnreadableName;
};

void addServicesOfRoute(FindingList &findings,
                        const ConfigurationDocument::RouteEntry &entry,
                        const KnownServices &known)
{
    const auto &services = entry.value.route.services;
    const auto field = entry.value.isSplit ? ConfigurationField::RouteSplit : ConfigurationField::RouteService;
    const auto path = findings.pathOf(entry.path, field);
    if (services.empty()) {
        findings.add(FindingKind::SplitEmpty, path);
    }
    for (std::size_t i = 0; i < services.size(); ++i) {
        const NamedEntry service{services[i].service.value()};
        const auto partPath = entry.value.isSplit ? elementPath(path, i) : path;
        if (services[i].weight == 0) {
            findings.add(FindingKind::SplitShareZero, partPath, service);
        }
        if (known.isMissing(services[i].service)) {
            findings.add(FindingKind::ServiceMissing, partPath, service);
        }
    }
}

/// The services to which routes send calls.
std::set<ServiceId> reachedServices(const ConfigurationDocument &document)
{
    std::set<ServiceId> reached;
    for (const auto &entry : document.routes()) {
        for (const auto &part : entry.value.route.services) {
            if (part.weight > 0) {
                reached.insert(part.service);
            }
        }
    }
    return reached;
}

void addServices(FindingList &findings, const ConfigurationDocument &document)
{
    const KnownServices known(findings, document);
    for (const auto &entry : document.routes()) {
        if (entry.isSound) {
            addServicesOfRoute(findings, entry, known);
        }
    }
    // A route whose services could not be read may lead to any service.
    const bool mayReachAny = hasUnreadable(findings,
                                           document,
                                           ConfigurationField::Routes,
                                           {ConfigurationField::RouteService, ConfigurationField::RouteSplitWeight});
    const auto reached = reachedServices(document);
    for (const auto &entry : document.services()) {
        const auto &id = entry.value.id;
        if (entry.isSound && known.lastPath(id) != entry.path) {
            findings.add(FindingKind::ServiceReplaced, entry.path, OtherEntry{known.lastPath(id)});
        } else if (entry.isSound && !mayReachAny && !reached.contains(id)) {
            findings.add(FindingKind::ServiceUnreached, entry.path, NamedEntry{id.value()});
        }
    }
}

void addOrganisations(FindingList &findings, const ConfigurationDocument &document)
{
    /// The last holder of each key, to which its calls belong.
    std::map<std::string, const ConfigurationDocument::OrganisationEntry *> holders;
    for (const auto &entry : document.organisations()) {
        for (const auto &key : entry.value.keys) {
            holders[key] = &entry;
        }
    }
    for (const auto &entry : document.organisations()) {
        const auto keysPath = findings.pathOf(entry.path, ConfigurationField::OrganisationKeys);
        if (entry.isSound && entry.value.keys.empty()) {
            findings.add(FindingKind::OrganisationWithoutKeys, entry.path, NamedEntry{entry.value.id.value()});
        }
        for (std::size_t i = 0; i < entry.value.keys.size(); ++i) {
            const auto *holder = holders.at(entry.value.keys[i]);
            if (entry.isSound && holder->value.id != entry.value.id) {
                findings.add(FindingKind::KeyHeldTwice, elementPath(keysPath, i), OtherEntry{holder->path});
            }
        }
    }
}

} // namespace

void addMatchFindings(FindingList &findings, const ConfigurationDocument &document)
{
    if (document.version() == 0 && !document.isRejected()) {
        findings.add(
            FindingKind::VersionNotNewer, findings.pathOf("", ConfigurationField::Version), ValueChange{"0", "0"});
    }
    addCoveredRoutes(findings, document);
    addUnmatchedRoutes(findings, document);
    addServices(findings, document);
    addOrganisations(findings, document);
}

} // namespace Cardamomhill::internal
