#pragma once

#include <cstdint>

namespace Cardamomhill
{

/// Speed and capacity of the model engines of a service, as its configuration states them.
struct EngineProfile {
    /// Requests that an engine runs concurrently.
    std::uint32_t slots = 0;
    /// Time for one token of each request in a step, and its increase for each running request and for each 1,000
    /// tokens of context.
    double stepMs = 0;
    double stepMsPerRequest = 0;
    double stepMsPerThousandTokens = 0;
    double prefillTokensPerSecond = 0;
    /// Time of the prefill for a million pairs of a prompt token and any token before it.
    double prefillMsPerMillionPairs = 0;
    /// Capacity of the key-value cache of an engine.
    std::uint64_t kvCacheTokens = 0;
    /// Tokens of one request that a step makes; they form one event of its stream.
    std::uint32_t tokensPerStep = 0;
    /// Mean tokens of a prompt and of an answer.
    std::uint32_t meanPromptTokens = 0;
    std::uint32_t meanAnswerTokens = 0;
    /// Layers whose experts are placed separately, the experts in each layer, and the replicas for which a rank has
    /// room in each layer. 0 layers for engines without experts.
    std::uint32_t expertLayers = 0;
    std::uint32_t expertsPerLayer = 0;
    std::uint32_t replicasPerRank = 0;
    /// Replicas in each layer that a rank can copy ahead of a switch to a new expert map, beside those of the current
    /// map.
    std::uint32_t spareReplicasPerRank = 0;
    double expertMegabytes = 0;
    double linkMegabitsPerSecond = 0;
};

} // namespace Cardamomhill
