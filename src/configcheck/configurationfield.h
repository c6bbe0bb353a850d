#pragma once

#include <cstdint>

namespace Cardamomhill
{

/// The fields of a configuration document that findings refer to. A DocumentCodec knows their names.
enum class ConfigurationField : std::uint8_t {
    Version,
    Routes,
    Services,
    Organisations,
    Limits,

    RouteName,
    RouteHostName,
    RoutePathPrefix,
    RouteKind,
    RouteTimeout,
    RouteLatencyObjective,
    RoutePauseObjective,
    RoutePriority,
    RouteAttemptLimit,
    RouteIsPublic,
    RouteIsResumable,
    RouteSessionAffinity,
    RouteService,
    RouteSplit,
    RouteSplitWeight,

    ServiceName,
    ServiceConnectionLimit,
    ServiceEngine,
    ServiceColdStart,
    ServiceColdCallsPerSecond,

    EngineSlots,
    EngineStepMs,
    EngineStepMsPerRequest,
    EngineTokensPerStep,
    EngineStepMsPerThousandTokens,
    EnginePrefillTokensPerSecond,
    EnginePrefillMsPerMillionPairs,
    EngineCacheTokens,
    EngineExpertLayers,
    EngineExpertsPerLayer,
    EngineReplicasPerRank,
    EngineSpareReplicasPerRank,
    EngineExpertMegabytes,
    EngineLinkMegabitsPerSecond,
    EngineMeanTokens,
    EngineMeanPromptTokens,
    EngineMeanAnswerTokens,

    OrganisationName,
    OrganisationPriority,
    OrganisationKeys,

    LimitHeaderBytes,
    LimitBodyBytes,
    LimitRequestReadTimeout,
    LimitIdleTimeout,
};

} // namespace Cardamomhill
