#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// What a check of a configuration found.
enum class FindingKind : std::uint8_t {
    /// A gateway rejects the document because of this field.
    FieldRejected,
    /// A gateway uses the document as if the field were missing or had a default value.
    FieldIgnored,
    /// The document has so many problems that it was not checked further.
    ProblemsOmitted,
    /// Gateways only take a configuration with a larger version than that in force, which is never 0.
    VersionNotNewer,

    /// Another route takes all calls of this one.
    RouteCovered,
    /// No call has such a host name.
    HostNameUnmatched,
    /// No call's path has such a prefix.
    PrefixUnmatched,
    /// A later service of the same name replaces this one.
    ServiceReplaced,
    /// A route leads to a service that the document does not contain.
    ServiceMissing,
    /// No route leads to the service.
    ServiceUnreached,
    /// A route is divided among no services.
    SplitEmpty,
    /// A part of a split gets no calls.
    SplitShareZero,
    /// Two organisations hold the same API key. Its calls belong to the later one.
    KeyHeldTwice,
    /// No call can belong to the organisation.
    OrganisationWithoutKeys,

    LatencyObjectiveAboveTimeout,
    PauseObjectiveAboveTimeout,
    HeaderTimeoutAboveIdleTimeout,
    BodyLimitAboveBudget,
    AttemptsAboveRetryBudget,
    /// Servers are stated to be cold for a time, but without a rate nothing limits their calls.
    ColdRateZero,

    RouteAdded,
    RouteRemoved,
    RouteChanged,
    ServiceAdded,
    ServiceRemoved,
    ServiceChanged,
    OrganisationAdded,
    OrganisationRemoved,
    OrganisationChanged,
    KeysChanged,
    /// Calls need API keys in one of the documents only.
    KeyRequirementChanged,
    LimitChanged,
};

constexpr auto nameTable(FindingKind)
{
    return std::to_array<NamedValue<FindingKind>>({
        {FindingKind::FieldRejected, "field-rejected"},
        {FindingKind::FieldIgnored, "field-ignored"},
        {FindingKind::ProblemsOmitted, "problems-omitted"},
        {FindingKind::VersionNotNewer, "version-not-newer"},
        {FindingKind::RouteCovered, "route-covered"},
        {FindingKind::HostNameUnmatched, "host-name-unmatched"},
        {FindingKind::PrefixUnmatched, "prefix-unmatched"},
        {FindingKind::ServiceReplaced, "service-replaced"},
        {FindingKind::ServiceMissing, "service-missing"},
        {FindingKind::ServiceUnreached, "service-unreached"},
        {FindingKind::SplitEmpty, "split-empty"},
        {FindingKind::SplitShareZero, "split-share-zero"},
        {FindingKind::KeyHeldTwice, "key-held-twice"},
        {FindingKind::OrganisationWithoutKeys, "organisation-without-keys"},
        {FindingKind::LatencyObjectiveAboveTimeout, "latency-objective-above-timeout"},
        {FindingKind::PauseObjectiveAboveTimeout, "pause-objective-above-timeout"},
        {FindingKind::HeaderTimeoutAboveIdleTimeout, "header-timeout-above-idle-timeout"},
        {FindingKind::BodyLimitAboveBudget, "body-limit-above-budget"},
        {FindingKind::AttemptsAboveRetryBudget, "attempts-above-retry-budget"},
        {FindingKind::ColdRateZero, "cold-rate-zero"},
        {FindingKind::RouteAdded, "route-added"},
        {FindingKind::RouteRemoved, "route-removed"},
        {FindingKind::RouteChanged, "route-changed"},
        {FindingKind::ServiceAdded, "service-added"},
        {FindingKind::ServiceRemoved, "service-removed"},
        {FindingKind::ServiceChanged, "service-changed"},
        {FindingKind::OrganisationAdded, "organisation-added"},
        {FindingKind::OrganisationRemoved, "organisation-removed"},
        {FindingKind::OrganisationChanged, "organisation-changed"},
        {FindingKind::KeysChanged, "keys-changed"},
        {FindingKind::KeyRequirementChanged, "key-requirement-changed"},
        {FindingKind::LimitChanged, "limit-changed"},
    });
}

} // namespace Cardamomhill
