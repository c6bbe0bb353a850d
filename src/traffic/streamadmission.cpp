#include "traffic/streamadmission.h"

#include "traffic/engineprofile.h"
#include "traffic/route.h"
#include "traffic/streamtimeouts.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

/// Steps from a free slot to the first event: the prompt is read in one, the first token is made in the next.
constexpr double StepsToFirstEvent = 2;
/// The same with a margin for a stream that has waited.
constexpr double CautiousStepsToFirstEvent = 2.5;
/// Fraction of the pause objective from which a step is slow.
constexpr double SlowStepFraction = 0.75;
/// Callers whose time left is shorter than the timeout of the route by more than this have been turned away before.
constexpr Milliseconds ReturningCallerMargin{200};
/// Fraction of the time that a caller waits for a first event. The rest is left to make the event.
constexpr double QueueingFraction = 0.8;

bool isReturning(const Route &route, Milliseconds timeLeftAtArrival)
{
    return timeLeftAtArrival + ReturningCallerMargin < route.timeout;
}

} // namespace

Milliseconds longestQueueingTime(const Route &route)
{
    return std::chrono::duration_cast<Milliseconds>(callerTimeoutFor(route) * QueueingFraction);
}

double StreamAdmission::maxCalls(double slots, Microseconds step) const
{
    const auto stepTime = static_cast<double>(step.count());
    const auto limit = static_cast<double>(Microseconds(firstEventLimit).count());
    const double answerTime = stepsPerAnswer * stepTime;
    const double waitingTime = limit - StepsToFirstEvent * stepTime;
    return slots + std::max(0.0, waitingTime * slots / answerTime);
}

bool StreamAdmission::shouldWait(Microseconds currentStep, Microseconds waited) const
{
    const auto firstEventIn = std::chrono::duration_cast<Microseconds>(currentStep * CautiousStepsToFirstEvent);
    return currentStep > std::chrono::duration_cast<Microseconds>(Microseconds(pauseObjective) * SlowStepFraction)
        && pauseObjective > Milliseconds(0) && waited + firstEventIn < latencyObjective;
}

std::optional<StreamAdmission>
streamAdmissionFor(const Route &route, const EngineProfile &engine, Milliseconds timeLeftAtArrival)
{
    const bool isStream = route.kind == CallKind::Stream && route.latencyObjective > Milliseconds(0);
    if (!isStream || engine.meanAnswerTokens == 0 || engine.tokensPerStep == 0) {
        return std::nullopt;
    }
    return StreamAdmission{isReturning(route, timeLeftAtArrival) ? longestQueueingTime(route) : route.latencyObjective,
                           static_cast<double>(engine.meanAnswerTokens) / engine.tokensPerStep,
                           route.latencyObjective,
                           route.pauseObjective};
}

} // namespace Cardamomhill
