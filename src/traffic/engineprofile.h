#pragma once

#include <cstdint>

namespace Cardamomhill
{

/// How fast the model engines of a service work, as its configuration states it.
struct EngineProfile {
    /// Requests that an engine runs at once.
    std::uint32_t slots = 0;
    /// Milliseconds of a token step, and its increments for each running request and for each 1,000 tokens of context.
    double stepMs = 0;
    double stepMsPerRequest = 0;
    double stepMsPerThousandTokens = 0;
    double prefillTokensPerSecond = 0;
    /// Tokens whose keys and values fit into an engine's memory.
    std::uint64_t cacheTokens = 0;
    /// Mean number of tokens of a prompt and of an answer.
    std::uint32_t usualPromptTokens = 0;
    std::uint32_t usualAnswerTokens = 0;
    /// Layers of experts that are placed separately, experts in each, and replicas that a rank has room for in each;
    /// 0 layers for engines without experts.
    std::uint32_t expertLayers = 0;
    std::uint32_t expertsPerLayer = 0;
    std::uint32_t placesPerRank = 0;
    /// Replicas that a rank can copy for one switch, in each layer.
    std::uint32_t copiesPerRank = 0;
    double expertMegabytes = 0;
    double linkMegabitsPerSecond = 0;
};

} // namespace Cardamomhill
