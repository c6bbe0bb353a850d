#pragma once

#include "core/random.h"
#include "traffic/callhead.h"
#include "traffic/engineprofile.h"
#include "traffic/promptreuse.h"
#include "traffic/route.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Cardamomhill
{

/// Engines that run 10 calls at once, with events of 6 tokens and answers of 23 events.
inline EngineProfile promptEngine()
{
    EngineProfile engine;
    engine.slots = 10;
    engine.stepMs = 5.85;
    engine.stepMsPerRequest = 0.426;
    engine.stepMsPerThousandTokens = 0.0432;
    engine.prefillTokensPerSecond = 61'200;
    engine.kvCacheTokens = 310'000;
    engine.tokensPerStep = 6;
    engine.meanPromptTokens = 787;
    engine.meanAnswerTokens = 138;
    return engine;
}

/// A call of a route with session affinity.
/// @param shared parts of its prompt that other calls share
/// @param ownTokens of the rest of the prompt
inline PromptReuse
promptCall(const std::vector<PromptPart> &shared, std::uint32_t ownTokens, const EngineProfile &engine = promptEngine())
{
    Route route;
    route.hasSessionAffinity = true;
    CallHead head;
    head.sharedPromptParts = shared;
    head.promptTokens = ownTokens;
    for (const auto &part : shared) {
        head.promptTokens += part.tokens;
    }
    return promptReuseFor(route, engine, head).value();
}

} // namespace Cardamomhill
