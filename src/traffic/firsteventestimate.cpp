#include "traffic/firsteventestimate.h"

#include "traffic/engineprofile.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

constexpr double MsPerSecond = 1000;
constexpr double TokensPerThousand = 1000;
constexpr double PairsPerMillion = 1e6;
/// Half of the current step, on average, and the step that makes the event.
constexpr double StepsToFirstEvent = 1.5;

} // namespace

double FirstEventEstimate::milliseconds(double callsPerSlot, std::uint64_t tokens, std::uint64_t heldTokens) const
{
    return waitMs(callsPerSlot) + readMs(tokens, heldTokens);
}

double FirstEventEstimate::waitMs(double callsPerSlot) const
{
    const double calls = callsPerSlot * slots;
    const double currentStepMs = stepMs + stepMsPerCall * std::min(calls, slots);
    const double answerMs = stepsPerAnswer * (stepMs + stepMsPerCall * slots);
    const double queueMs = std::max(0.0, calls - slots) * (answerMs / slots);
    return queueMs + StepsToFirstEvent * currentStepMs;
}

double FirstEventEstimate::runningCallMs() const
{
    return StepsToFirstEvent * stepMsPerCall;
}

double FirstEventEstimate::readMs(std::uint64_t tokens, std::uint64_t heldTokens) const
{
    const auto end = static_cast<double>(tokens);
    const auto begin = static_cast<double>(std::min(heldTokens, tokens));
    const double pairs = (end * end - begin * begin) / 2;
    return (end - begin) * readMsPerToken + pairs / PairsPerMillion * readMsPerMillionPairs;
}

std::optional<FirstEventEstimate> firstEventEstimateFor(const EngineProfile &engine)
{
    const bool isComplete = engine.slots > 0 && engine.stepMs > 0 && engine.stepMsPerRequest > 0
        && engine.stepMsPerThousandTokens >= 0 && engine.tokensPerStep > 0 && engine.prefillTokensPerSecond > 0
        && engine.prefillMsPerMillionPairs >= 0 && engine.kvCacheTokens > 0 && engine.meanPromptTokens > 0
        && engine.meanAnswerTokens > 0;
    if (!isComplete) {
        return std::nullopt;
    }
    const double context = engine.meanPromptTokens + engine.meanAnswerTokens / 2.0;
    FirstEventEstimate estimate;
    estimate.slots = engine.slots;
    estimate.stepMs = engine.tokensPerStep * engine.stepMs;
    estimate.stepMsPerCall = engine.tokensPerStep
        * (engine.stepMsPerRequest + engine.stepMsPerThousandTokens * context / TokensPerThousand);
    estimate.stepsPerAnswer = static_cast<double>(engine.meanAnswerTokens) / engine.tokensPerStep;
    estimate.readMsPerToken = MsPerSecond / engine.prefillTokensPerSecond;
    estimate.readMsPerMillionPairs = engine.prefillMsPerMillionPairs;
    estimate.capacityTokens = engine.kvCacheTokens;
    estimate.meanPromptTokens = engine.meanPromptTokens;
    estimate.meanAnswerTokens = engine.meanAnswerTokens;
    return estimate;
}

} // namespace Cardamomhill
