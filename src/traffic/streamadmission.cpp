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
/// Fraction of the pause objective from which a step is slow.
constexpr double SlowStepFraction = 0.85;
/// Fraction of the pause objective below which a step is quick. Streams that wait are sent when steps are quick: if all
/// were sent at the first step that is not slow, their prompts would make the next one slow again.
constexpr double QuickStepFraction = 0.5;
/// A stream that has waited for less has just arrived.
constexpr Milliseconds MinWait{5};

} // namespace

double StreamAdmission::maxCalls(double slots, Microseconds step, Microseconds waited) const
{
    const auto stepTime = static_cast<double>(step.count());
    const auto limit = static_cast<double>((Microseconds(firstEventLimit) - waited).count());
    const double answerTime = stepsPerAnswer * stepTime;
    const double waitingTime = limit - StepsToFirstEvent * stepTime;
    return slots + std::max(0.0, waitingTime * slots / answerTime);
}

bool StreamAdmission::shouldWait(Microseconds currentStep, Microseconds waited) const
{
    if (pauseObjective <= Milliseconds(0)) {
        return false;
    }
    const double fraction = waited > MinWait ? QuickStepFraction : SlowStepFraction;
    const auto limit = std::chrono::duration_cast<Microseconds>(pauseObjective * fraction);
    const auto firstEventIn = std::chrono::duration_cast<Microseconds>(currentStep * StepsToFirstEvent);
    return currentStep > limit && waited + firstEventIn < latencyObjective;
}

Microseconds StreamAdmission::timeToFirstEvent(Microseconds step) const
{
    const auto usual = group ? group->stepTime.eventTime(0) : Microseconds(0);
    return std::chrono::duration_cast<Microseconds>(std::max(step, usual) * StepsToFirstEvent);
}

std::optional<StreamAdmission>
streamAdmissionFor(const Route &route, const EngineProfile &engine, std::optional<Urgency> urgency)
{
    const bool isStream = route.kind == CallKind::Stream && route.latencyObjective > Milliseconds(0);
    if (!isStream || engine.meanAnswerTokens == 0 || engine.tokensPerStep == 0) {
        return std::nullopt;
    }
    StreamAdmission admission{streamTimeoutsFor(route).queueTimeout,
                              static_cast<double>(engine.meanAnswerTokens) / engine.tokensPerStep,
                              route.latencyObjective,
                              route.pauseObjective,
                              {}};
    if (urgency && route.pauseObjective > Milliseconds(0) && engine.stepMsPerRequest > 0) {
        admission.group
            = GroupAdmission{*urgency, false, {engine.stepMs, engine.stepMsPerRequest, engine.tokensPerStep}};
    }
    return admission;
}

} // namespace Cardamomhill
