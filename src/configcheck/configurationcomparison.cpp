#include "configcheck/configurationcheck.h"
#include "configcheck/configurationdocument.h"
#include "configcheck/documentcodec.h"
#include "configcheck/fieldvalue.h"
#include "configcheck/findinglist.h"
#include "core/joinwithcommas.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Cardamomhill
{

namespace
{

/// The kinds of finding about one kind of entry.
struct ChangeKinds {
    FindingKind added;
    FindingKind removed;
    FindingKind changed;
};

/// A field and its value as text.
using Fields = std::vector<internal::FieldValue>;

/// Adds the fields that differ between two versions of an entry. A field that only one of them has is compared with
/// an empty value.
void addChangedFields(internal::FindingList &findings,
                      FindingKind kind,
                      const std::string &path,
                      const Fields &oldFields,
                      const Fields &newFields)
{
    for (std::size_t i = 0; i < std::max(oldFields.size(), newFields.size()); ++i) {
        const auto field = i < newFields.size() ? newFields[i].field : oldFields[i].field;
        const auto oldValue = i < oldFields.size() ? oldFields[i].value : std::string();
        const auto newValue = i < newFields.size() ? newFields[i].value : std::string();
        if (oldValue != newValue) {
            findings.add(kind, findings.pathOf(path, field), ValueChange{oldValue, newValue});
        }
    }
}

/// An entry as it is compared with one of the same name.
struct ComparedEntry {
    std::string path;
    bool isSound = true;
    Fields fields;
};

/// By name. Of entries of the same name, the last one counts.
using ComparedEntries = std::map<std::string, ComparedEntry>;

/// All fields of an entry as one text; empty if some of them could not be read.
std::string textOf(const internal::FindingList &findings, const ComparedEntry &entry)
{
    const auto textOfField = [&findings](const internal::FieldValue &field) {
        return findings.pathOf("", field.field) + "=" + field.value;
    };
    return entry.isSound ? joinWithCommas(entry.fields, textOfField) : std::string();
}

void compareEntries(internal::FindingList &findings,
                    const ChangeKinds &kinds,
                    const ComparedEntries &oldEntries,
                    const ComparedEntries &newEntries)
{
    for (const auto &[name, entry] : newEntries) {
        const auto old = oldEntries.find(name);
        if (old == oldEntries.end()) {
            findings.add(kinds.added, entry.path, EntryChange{name, "", textOf(findings, entry)});
        } else if (old->second.isSound && entry.isSound) {
            addChangedFields(findings, kinds.changed, entry.path, old->second.fields, entry.fields);
        }
    }
    for (const auto &[name, entry] : oldEntries) {
        if (!newEntries.contains(name)) {
            findings.add(kinds.removed, entry.path, EntryChange{name, textOf(findings, entry), ""});
        }
    }
}

ComparedEntries routesOf(const ConfigurationDocument &document, const DocumentCodec &codec)
{
    ComparedEntries entries;
    for (const auto &entry : document.routes()) {
        const auto &route = entry.value.route;
        entries[route.hostName + route.pathPrefix]
            = {entry.path, entry.isSound, internal::fieldsOf(entry.value, codec)};
    }
    return entries;
}

ComparedEntries servicesOf(const ConfigurationDocument &document, const DocumentCodec &codec)
{
    ComparedEntries entries;
    for (const auto &entry : document.services()) {
        entries[entry.value.id.value()] = {entry.path, entry.isSound, internal::fieldsOf(entry.value, codec)};
    }
    return entries;
}

/// The organisations of a document. Their keys are not among the fields, which are printed.
ComparedEntries organisationsOf(const ConfigurationDocument &document)
{
    ComparedEntries entries;
    for (const auto &entry : document.organisations()) {
        Fields fields;
        if (entry.value.priority) {
            fields.push_back({ConfigurationField::OrganisationPriority, std::to_string(*entry.value.priority)});
        }
        entries[entry.value.id.value()] = {entry.path, entry.isSound, std::move(fields)};
    }
    return entries;
}

/// The keys of one organisation, from all its entries.
struct OrganisationKeys {
    std::set<std::string> keys;
    bool isSound = true;
};

using KeysByOrganisation = std::map<std::string, OrganisationKeys>;

KeysByOrganisation keysOf(const ConfigurationDocument &document)
{
    KeysByOrganisation organisations;
    for (const auto &entry : document.organisations()) {
        auto &organisation = organisations[entry.value.id.value()];
        organisation.keys.insert(entry.value.keys.begin(), entry.value.keys.end());
        organisation.isSound = organisation.isSound && entry.isSound;
    }
    return organisations;
}

/// How many of the keys are not among the others.
std::size_t countMissing(const std::set<std::string> &keys, const std::set<std::string> &others)
{
    return static_cast<std::size_t>(
        std::count_if(keys.begin(), keys.end(), [&others](const std::string &key) { return !others.contains(key); }));
}

/// Compares the keys of each organisation of either document.
void compareKeys(internal::FindingList &findings,
                 const ConfigurationDocument &oldDocument,
                 const ConfigurationDocument &newDocument)
{
    auto oldKeys = keysOf(oldDocument);
    auto newKeys = keysOf(newDocument);
    const auto compare = [&](const ConfigurationDocument::OrganisationEntry &entry) {
        const auto &name = entry.value.id.value();
        auto &oldOnes = oldKeys[name];
        auto &newOnes = newKeys[name];
        const auto added = countMissing(newOnes.keys, oldOnes.keys);
        const auto removed = countMissing(oldOnes.keys, newOnes.keys);
        if (added + removed > 0 && oldOnes.isSound && newOnes.isSound) {
            const auto path = findings.pathOf(entry.path, ConfigurationField::OrganisationKeys);
            findings.add(FindingKind::KeysChanged, path, KeyChange{name, added, removed});
        }
        // An organisation with several entries is reported once.
        newOnes.keys = oldOnes.keys;
    };
    std::for_each(newDocument.organisations().begin(), newDocument.organisations().end(), compare);
    std::for_each(oldDocument.organisations().begin(), oldDocument.organisations().end(), compare);
}

void compareOrganisations(internal::FindingList &findings,
                          const ConfigurationDocument &oldDocument,
                          const ConfigurationDocument &newDocument)
{
    compareEntries(findings,
                   {FindingKind::OrganisationAdded, FindingKind::OrganisationRemoved, FindingKind::OrganisationChanged},
                   organisationsOf(oldDocument),
                   organisationsOf(newDocument));
    compareKeys(findings, oldDocument, newDocument);
    if (oldDocument.needsKeys() != newDocument.needsKeys()) {
        const auto textOfNeed = [](bool needsKeys) { return std::string(needsKeys ? "required" : "not-required"); };
        findings.add(FindingKind::KeyRequirementChanged,
                     findings.pathOf("", ConfigurationField::Organisations),
                     ValueChange{textOfNeed(oldDocument.needsKeys()), textOfNeed(newDocument.needsKeys())});
    }
}

void compareLimits(internal::FindingList &findings,
                   const ConfigurationDocument &oldDocument,
                   const ConfigurationDocument &newDocument,
                   const DocumentCodec &codec)
{
    const auto &oldLimits = oldDocument.limits();
    const auto &newLimits = newDocument.limits();
    if (oldLimits.isSound && newLimits.isSound) {
        addChangedFields(findings,
                         FindingKind::LimitChanged,
                         findings.pathOf("", ConfigurationField::Limits),
                         internal::fieldsOf(oldLimits.value, codec),
                         internal::fieldsOf(newLimits.value, codec));
    }
}

/// Whether gateways with the old version in force ignore the new one, although it differs. Version 0 and a version that
/// could not be read are findings of the document itself.
bool isIgnored(std::uint64_t oldVersion, std::uint64_t newVersion, bool differs)
{
    return newVersion > 0 && (newVersion < oldVersion || (newVersion == oldVersion && differs));
}

} // namespace

Findings compareConfigurations(const ConfigurationDocument &oldDocument,
                               const ConfigurationDocument &newDocument,
                               const DocumentCodec &codec)
{
    internal::FindingList findings(codec);
    compareEntries(findings,
                   {FindingKind::RouteAdded, FindingKind::RouteRemoved, FindingKind::RouteChanged},
                   routesOf(oldDocument, codec),
                   routesOf(newDocument, codec));
    compareEntries(findings,
                   {FindingKind::ServiceAdded, FindingKind::ServiceRemoved, FindingKind::ServiceChanged},
                   servicesOf(oldDocument, codec),
                   servicesOf(newDocument, codec));
    compareOrganisations(findings, oldDocument, newDocument);
    compareLimits(findings, oldDocument, newDocument, codec);
    if (isIgnored(oldDocument.version(), newDocument.version(), !findings.isEmpty())) {
        findings.add(FindingKind::VersionNotNewer,
                     findings.pathOf("", ConfigurationField::Version),
                     ValueChange{std::to_string(oldDocument.version()), std::to_string(newDocument.version())});
    }
    return findings.take();
}

} // namespace Cardamomhill
