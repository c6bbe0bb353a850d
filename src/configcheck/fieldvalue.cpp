#include "configcheck/fieldvalue.h"

#include "configcheck/documentcodec.h"
#include "core/joinwithcommas.h"
#include "traffic/callerlimits.h"
#include "traffic/trafficservice.h"

#include <nlohmann/json.hpp>

namespace Cardamomhill::internal
{

namespace
{

using Field = ConfigurationField;

std::string textOf(bool value)
{
    return value ? "true" : "false";
}

FieldValue timeOf(Field field, Milliseconds time, const DocumentCodec &codec)
{
    return {field, codec.textOf(field, time)};
}

/// The shortest text that gives the same number when it is read.
std::string textOf(double number)
{
    return nlohmann::json(number).dump();
}

/// The services with their weights, or the only one.
FieldValue servicesOf(const DocumentRoute &entry)
{
    const auto textOfPart = [&entry](const WeightedService &part) {
        return part.service.value() + (entry.isSplit ? ":" + std::to_string(part.weight) : "");
    };
    return {entry.isSplit ? Field::RouteSplit : Field::RouteService, joinWithCommas(entry.route.services, textOfPart)};
}

void addFields(std::vector<FieldValue> &fields, const EngineProfile &engine)
{
    fields.push_back({Field::EngineSlots, std::to_string(engine.slots)});
    fields.push_back({Field::EngineStepMs, textOf(engine.stepMs)});
    fields.push_back({Field::EngineStepMsPerRequest, textOf(engine.stepMsPerRequest)});
    fields.push_back({Field::EngineTokensPerStep, std::to_string(engine.tokensPerStep)});
    fields.push_back({Field::EngineStepMsPerThousandTokens, textOf(engine.stepMsPerThousandTokens)});
    fields.push_back({Field::EnginePrefillTokensPerSecond, textOf(engine.prefillTokensPerSecond)});
    fields.push_back({Field::EnginePrefillMsPerMillionPairs, textOf(engine.prefillMsPerMillionPairs)});
    fields.push_back({Field::EngineCacheTokens, std::to_string(engine.kvCacheTokens)});
    fields.push_back({Field::EngineExpertLayers, std::to_string(engine.expertLayers)});
    fields.push_back({Field::EngineExpertsPerLayer, std::to_string(engine.expertsPerLayer)});
    fields.push_back({Field::EngineReplicasPerRank, std::to_string(engine.replicasPerRank)});
    fields.push_back({Field::EngineSpareReplicasPerRank, std::to_string(engine.spareReplicasPerRank)});
    fields.push_back({Field::EngineExpertMegabytes, textOf(engine.expertMegabytes)});
    fields.push_back({Field::EngineLinkMegabitsPerSecond, textOf(engine.linkMegabitsPerSecond)});
    fields.push_back({Field::EngineMeanPromptTokens, std::to_string(engine.meanPromptTokens)});
    fields.push_back({Field::EngineMeanAnswerTokens, std::to_string(engine.meanAnswerTokens)});
}

} // namespace

std::vector<FieldValue> fieldsOf(const DocumentRoute &entry, const DocumentCodec &codec)
{
    const auto &route = entry.route;
    return {{Field::RouteName, route.name},
            {Field::RouteKind, codec.textOf(route.kind)},
            timeOf(Field::RouteTimeout, route.timeout, codec),
            timeOf(Field::RouteLatencyObjective, route.latencyObjective, codec),
            timeOf(Field::RoutePauseObjective, route.pauseObjective, codec),
            {Field::RoutePriority, std::to_string(route.priority)},
            {Field::RouteAttemptLimit, std::to_string(route.attemptLimit)},
            {Field::RouteIsPublic, textOf(route.isPublic)},
            {Field::RouteIsResumable, textOf(route.isResumable)},
            {Field::RouteSessionAffinity, textOf(route.hasSessionAffinity)},
            servicesOf(entry)};
}

std::vector<FieldValue> fieldsOf(const TrafficService &service, const DocumentCodec &codec)
{
    std::vector<FieldValue> fields{{Field::ServiceConnectionLimit, std::to_string(service.connectionLimit)},
                                   timeOf(Field::ServiceColdStart, service.coldStart, codec),
                                   {Field::ServiceColdCallsPerSecond, textOf(service.coldCallsPerSecond)},
                                   {Field::ServiceEngine, textOf(service.engine.has_value())}};
    if (service.engine) {
        addFields(fields, *service.engine);
    }
    return fields;
}

std::vector<FieldValue> fieldsOf(const CallerLimits &limits, const DocumentCodec &codec)
{
    return {{Field::LimitHeaderBytes, std::to_string(limits.headerBytes)},
            {Field::LimitBodyBytes, std::to_string(limits.bodyBytes)},
            timeOf(Field::LimitRequestReadTimeout, limits.requestReadTimeout, codec),
            timeOf(Field::LimitIdleTimeout, limits.idleTimeout, codec)};
}

} // namespace Cardamomhill::internal
