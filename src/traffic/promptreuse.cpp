#include "traffic/promptreuse.h"

#include "traffic/callhead.h"
#include "traffic/route.h"

namespace Cardamomhill
{

bool PromptReuse::isWorthWeighing() const
{
    const double savedMs = estimate.readMs(prompt.tokens, 0) - estimate.readMs(prompt.tokens, prompt.sharedTokens());
    return savedMs > estimate.runningCallMs();
}

std::optional<PromptReuse> promptReuseFor(const Route &route, const EngineProfile &engine, const CallHead &call)
{
    const auto estimate = route.hasSessionAffinity ? firstEventEstimateFor(engine) : std::nullopt;
    if (!estimate) {
        return std::nullopt;
    }
    const auto tokens = call.promptTokens > 0 ? call.promptTokens : estimate->meanPromptTokens;
    return PromptReuse{promptOutlineOf(call.sharedPromptParts, tokens), *estimate};
}

} // namespace Cardamomhill
